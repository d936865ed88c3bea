package command

import (
	"net/netip"
	"os"
	"strings"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"berylward.example/berylward/internal/sidecar"
)

func newSidecar() *cobra.Command {
	p := processFlags{acceptsLinks: true}
	var backend netip.AddrPort
	var service, ticketKeyFile, models string
	memoryMiB := 0
	cmd := &cobra.Command{
		Use:   "sidecar",
		Short: "Run a sidecar: the process beside one backend server",
		Args:  cobra.NoArgs,
	}
	s := newSettings(cmd)
	p.register(s)
	s.textVar(&p.listen, "listen", addressFormat, "listen address for links")
	s.textVar(&backend, "backend", addressFormat, "address of the backend server")
	s.stringVar(&service, "service", "the name of a declared service", "plain service that the backend server provides; empty for a model engine")
	s.stringVar(&models, "models", "names separated by commas", "models that the engine serves; when empty, models are assigned by the declared number of workers")
	s.stringVar(&ticketKeyFile, "ticket-key-file", "a file", "file with the key that authenticates tickets, shared by all sidecars of a service")
	s.intVar(&memoryMiB, "memory-limit", "memory in MiB that the process may use; requests whose content or answer finds no memory are refused or fail; no limit when zero")
	s.require("listen")
	s.require("backend")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		memoryLimit := int64(memoryMiB) << 20
		limitMemory(memoryLimit)
		config, err := p.peerTLS()
		if err != nil {
			return err
		}
		var ticketKey []byte
		if ticketKeyFile != "" {
			if ticketKey, err = os.ReadFile(ticketKeyFile); err != nil {
				return errors.Wrap(err, "read ticket key")
			}
		}
		instr, err := p.startInstrumentation(cmd.Context())
		if err != nil {
			return err
		}
		defer instr.stop()
		listener, err := listen(p.listen, config)
		if err != nil {
			return err
		}
		sc, err := sidecar.Start(
			sidecar.Options{
				Instance: p.instance, Zone: p.zone, Listener: listener, Backend: backend, Service: service, Platform: p.platform,
				Models: strings.FieldsFunc(models, func(r rune) bool { return r == ',' }),
			},
			sidecar.WithLogger(instr.logs.Logger("sidecar")), sidecar.WithMetrics(instr.metrics.Slice("sidecar")),
			sidecar.WithTracer(instr.traces.Provider()), sidecar.WithLinkOptions(p.linkOptions(config)...), sidecar.WithTicketKey(ticketKey),
			sidecar.WithMemoryLimit(memoryLimit),
		)
		if err != nil {
			return err
		}
		instr.serveAdmin(func() any { return sc.Status() })
		return supervise(sc, p.stopTimeout)
	}
	return cmd
}
