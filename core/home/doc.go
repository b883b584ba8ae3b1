// Package home is the state machine that is in charge of jobs: it holds their
// records, places their tasks on executors and answers them.
//
// A record is created at most once for an ID and an attempt, and a task is sent
// to another executor only after the former one has refused it for good. What
// was lost with an executor is answered as unknown. Records are kept until the
// admission window of their creation time has passed, so that no resubmission
// can create a second record.
//
// Callers: package agent. A Core is not safe for concurrent use.
package home
