package transport

import (
	"net"
	"testing"
	"time"
)

// unusedAddr returns an address whose port refuses connections.
func unusedAddr(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = l.Close()
	return l.Addr().String()
}

// TestRefusedConnectionIsAHint checks that refused connections are reported once, and not as
// the end of the incarnation.
func TestRefusedConnectionIsAHint(t *testing.T) {
	entry, rec := start(t, Config{Self: ref("e1", 7)})
	entry.SetPeers([]Peer{{Ref: ref("a1", 1), Addr: unusedAddr(t)}})
	for range 3 {
		entry.Send(ref("a1", 1), pending(1))
	}
	if got := receive(t, rec.suspects); got != ref("a1", 1) {
		t.Errorf("got a hint about %v, want the addressed incarnation", got)
	}
	entry.Send(ref("a1", 1), pending(1))
	entry.SetPeers(nil)
	if len(rec.suspects)+len(rec.dead) != 0 {
		t.Errorf("got %d more hints and %d reports of an end, want none", len(rec.suspects), len(rec.dead))
	}
}

// sendUntilReceived sends messages until one arrives.
func sendUntilReceived(t *testing.T, from *Transport, to *recorder) {
	t.Helper()
	for end := time.Now().Add(testWait); time.Now().Before(end); {
		from.Send(ref("a1", 1), pending(1))
		select {
		case <-to.envs:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
	t.Fatal("timeout: no message arrived")
}

// TestRefusedPeerIsDialledAgain guards against a live peer that is lost for good: its port has
// refused connections, and messages reach it again when it accepts them, each time.
func TestRefusedPeerIsDialledAgain(t *testing.T) {
	entry, rec := start(t, Config{Self: ref("e1", 7)})
	addr := unusedAddr(t)
	entry.SetPeers([]Peer{{Ref: ref("a1", 1), Addr: addr}})
	for range 3 {
		entry.Send(ref("a1", 1), pending(1))
		if got := receive(t, rec.suspects); got != ref("a1", 1) {
			t.Fatalf("got a hint about %v, want the addressed incarnation", got)
		}
		agent, agentRec := start(t, Config{Self: ref("a1", 1), Listen: addr})
		sendUntilReceived(t, entry, agentRec)
		_ = agent.Close()
		for end := time.Now().Add(testWait); entry.Connected(ref("a1", 1)); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("timeout: the connection is still open")
			}
		}
	}
	if len(rec.dead) != 0 {
		t.Error("the peer was reported to have ended")
	}
}

// TestOtherProcessAtAnAddressIsAHint checks that a process with another ID at the address of a
// peer is not taken for the end of the peer: the address may have passed to another host.
func TestOtherProcessAtAnAddressIsAHint(t *testing.T) {
	other, _ := start(t, Config{Self: ref("a2", 1)})
	entry, rec := start(t, Config{Self: ref("e1", 7)})
	entry.SetPeers([]Peer{{Ref: ref("a1", 1), Addr: other.Addr()}})
	entry.Send(ref("a1", 1), pending(1))
	if got := receive(t, rec.suspects); got != ref("a1", 1) || len(rec.dead) != 0 {
		t.Errorf("got a hint about %v and %d reports of an end, want a hint about the addressed incarnation", got, len(rec.dead))
	}
}
