package trial

import (
	"net"
	"testing"
)

// TestNetworksOfDeploymentsAreApart guards against deployments that listen on each other's addresses ("address already in use").
func TestNetworksOfDeploymentsAreApart(t *testing.T) {
	t.Parallel()
	seen := make(map[string]bool)
	for range 200 {
		n, err := openNetwork()
		if err != nil {
			t.Fatal(err)
		}
		defer func() {
			if err := n.close(); err != nil {
				t.Error(err)
			}
		}()
		if seen[n.prefix] {
			t.Fatalf("%s given twice", n.prefix)
		}
		seen[n.prefix] = true
	}
	for prefix := range seen {
		l, err := net.Listen("tcp", hostPort(prefix+"1", reservationPort))
		if err == nil {
			l.Close()
			t.Fatalf("%s is not reserved", prefix)
		}
		break
	}
}

func TestEntriesHaveAddressesOfTheirOwn(t *testing.T) {
	t.Parallel()
	n, err := openNetwork()
	if err != nil {
		t.Fatal(err)
	}
	defer n.close()
	if a, b := n.newEntry(), n.newEntry(); a == b {
		t.Errorf("two entries at %s", a)
	}
}
