// Package link carries typed messages between the processes of berylward. Each pair of processes shares one WebSocket
// connection, on which messages are encoded as CBOR.
//
// The package implements the handshake, the framing, the heartbeats in both directions and the detection of a silent
// peer. It never retries and never interprets a request: reconnection and the meaning of messages are up to the
// goroutines that own a connection.
package link
