package telemetry

// Names of counters and histograms. docs/METRICS.md describes each.
const (
	InvariantViolationsTotal = "dogwoodgauge_invariant_violations_total"
	HTTPRequestsTotal        = "dogwoodgauge_http_requests_total"
	JobAnswersTotal          = "dogwoodgauge_job_answers_total"
	JobResponseSeconds       = "dogwoodgauge_job_response_seconds"
	TaskStartsTotal          = "dogwoodgauge_task_starts_total"
	TaskCompletionsTotal     = "dogwoodgauge_task_ends_total"
	TaskRefusalsTotal        = "dogwoodgauge_task_refusals_total"
	TaskServiceSeconds       = "dogwoodgauge_task_service_seconds"
	MessagesTotal            = "dogwoodgauge_messages_total"
	MessageBytesTotal        = "dogwoodgauge_message_bytes_total"
	FramesRejectedTotal      = "dogwoodgauge_frames_rejected_total"
	ConnectionsClosedTotal   = "dogwoodgauge_connections_closed_total"
	HandoversRefusedTotal    = "dogwoodgauge_handovers_refused_total"
	LogRequestsTotal         = "dogwoodgauge_log_requests_total"
	SettingsReloadsTotal     = "dogwoodgauge_settings_reloads_total"
	UpstreamCallSeconds      = "dogwoodgauge_upstream_call_seconds"
)

// Names of gauges. docs/METRICS.md describes each.
const (
	CallsInFlight = "dogwoodgauge_calls_in_flight"
	ControlOffset = "dogwoodgauge_control_offset"
	Members       = "dogwoodgauge_members"
	Slots         = "dogwoodgauge_slots"
	SlotsBusy     = "dogwoodgauge_slots_busy"
	QueueLength   = "dogwoodgauge_queue_length"
	JobRecords    = "dogwoodgauge_job_records"
	OpenJobBytes  = "dogwoodgauge_open_job_bytes"
	Upstreams     = "dogwoodgauge_upstreams"
	Draining      = "dogwoodgauge_draining"
	AgentsReady   = "dogwoodgauge_agents_ready"
	JobsWaiting   = "dogwoodgauge_jobs_waiting"
	OpenTasks     = "dogwoodgauge_open_tasks"
	PredictedWait = "dogwoodgauge_predicted_wait_seconds"
	Overloaded    = "dogwoodgauge_overloaded"
	SiteRevision  = "dogwoodgauge_site_revision"
	RunsOpen      = "dogwoodgauge_runs_open"
	CapacityInUse = "dogwoodgauge_room_used_millicpu"
	TotalCapacity = "dogwoodgauge_room_capacity_millicpu"
	UpstreamReady = "dogwoodgauge_upstream_ready"
	OffersTotal   = "dogwoodgauge_offers_total"
	RunsLostTotal = "dogwoodgauge_runs_lost_total"

	UsableCapacity     = "dogwoodgauge_room_usable_millicpu"
	StartsRefusedTotal = "dogwoodgauge_starts_refused_total"

	UpstreamCrashesTotal = "dogwoodgauge_upstream_crashes_total"
	RunsCrashedTotal     = "dogwoodgauge_runs_crashed_total"
	RoutesConfined       = "dogwoodgauge_routes_confined"

	AgentsFast       = "dogwoodgauge_agents_fast"
	AgentsSlow       = "dogwoodgauge_agents_slow"
	UpstreamSlowdown = "dogwoodgauge_upstream_slowdown_percent"
	ShareTurnsTotal  = "dogwoodgauge_share_turns_total"
	JobsHeldTotal    = "dogwoodgauge_jobs_held_total"
	InterferingPairs = "dogwoodgauge_interfering_pairs"

	CancelledResubmissionsTotal = "dogwoodgauge_cancelled_resubmissions_total"
	CancelsForgottenTotal       = "dogwoodgauge_cancels_forgotten_total"
	JobsMayStartLate            = "dogwoodgauge_jobs_may_start_late"
	HeldResubmissionsTotal      = "dogwoodgauge_held_resubmissions_total"
	HoldsForgottenTotal         = "dogwoodgauge_holds_forgotten_total"
	OfferAnswers                = "dogwoodgauge_offer_answers"
	OfferAnswersForgottenTotal  = "dogwoodgauge_offer_answers_forgotten_total"
)
