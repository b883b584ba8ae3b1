package liveness

// Withdrawn is a hint: its end was reported by a message that does not name the incarnation,
// so that an earlier one may have sent it.
const Withdrawn Sign = "withdrawal"
