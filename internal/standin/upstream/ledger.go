package upstream

// Ledger counts starts over all upstreams of a test, independently of the
// system. All methods are safe for concurrent use.
type Ledger struct{}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{} }
