package gateway

import (
	"berylward.example/berylward/internal/dispatch"
	"berylward.example/berylward/internal/route"
)

// chooseService chooses a service by the shares of a route, and reports whether there is one. It must be called with the
// gateway's lock held.
func (q *request) chooseService(r *route.Route) bool {
	g := q.gateway
	service, ok := r.ChooseService(g.random.IntN, func(service string) bool { return len(g.roster.InService(service)) > 0 })
	if !ok {
		return false
	}
	q.setService(service)
	g.retries.Request(g.clock.Now(), dispatch.ServiceKey(service))
	return true
}

// setService fills in what the planner must know of the service of the request. It must be called with the gateway's lock held.
func (q *request) setService(service string) {
	g := q.gateway
	q.service, q.profile.Service = service, dispatch.ServiceKey(service)
	q.profile.ColdPerSecond, q.idleLimit = 0, 0
	q.profile.Engine, q.profile.Prompt, q.profile.Answer = nil, 0, 0
	table := g.currentTable.Table()
	q.profile.Rank, q.profile.Ranks = table.Rank(q.current.Route, q.current.Workspace), table.Ranks(service)
	q.profile.Workspace = dispatch.WorkspaceKey(q.current.Workspace)
	s := table.Service(service)
	if s == nil {
		return
	}
	q.profile.ColdPerSecond, q.idleLimit = s.ColdRate, g.planner.MaxIdleConnections(s.MaxConnections)
	if p := q.req.Prompt; p != nil && s.Engine != nil {
		q.profile.Engine, q.profile.Prompt, q.profile.Answer = s.Engine, p.Tokens, p.MaxOutputTokens
		if p.ExpectedOutputTokens > 0 && p.ExpectedOutputTokens < p.MaxOutputTokens {
			q.profile.Answer = p.ExpectedOutputTokens
		}
	}
}

// followShares moves a request that was held or is to be sent again to another service if the route, as it is now, has no share
// for its service any more, and reports whether there is a service for it. A stream that has begun stays, since only
// its service can continue it. followShares must be called with the gateway's lock held.
func (q *request) followShares(r *route.Route) bool {
	return q.delivered || r.Allows(q.service) || q.chooseService(r)
}
