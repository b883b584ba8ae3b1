// Package home implements the state machine of the agent in charge of a job: it
// keeps the job's record, places its tasks on executors and sends the answer.
//
// The home creates at most one record for an ID and an attempt, and sends a task
// to another executor only after the previous one has refused it permanently.
// When an executor incarnation ends, the home reports the outcome of the tasks that
// it had not answered as unknown. The home keeps a record until the job is too old
// to be admitted, so that no resubmission can create a second record.
//
// Callers: package agent. A Core is not safe for concurrent use.
package home
