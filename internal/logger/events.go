package logger

import "go.uber.org/zap/zapcore"

// Events of every process.
var (
	ProcessStarted = register(1001, "process_started", zapcore.InfoLevel,
		"The process has read its settings and listens.")
	ProcessDraining = register(1002, "process_draining", zapcore.InfoLevel,
		"A stop was asked for; no new work is taken and running work is finished.")
	ProcessStopped = register(1003, "process_stopped", zapcore.InfoLevel,
		"The process ends. The field `cut_off` counts requests that did not finish in the drain time; it should be 0.")
	ThroughOffsetFell = register(1004, "through_offset_fell", zapcore.FatalLevel,
		"A process was about to move its configuration backwards. This is a defect; the process stops itself. Report it.")
	QueueFull = register(1005, "queue_full", zapcore.WarnLevel,
		"The control queue was full and an event was dropped; its sender sends it again. Often: the process lacks processor time.")
)

// Events of processes that call endpoints directly.
var (
	LinesDropped = register(1006, "lines_dropped", zapcore.WarnLevel,
		"Lines of the log were left out to bound its volume; the fields count them by event, `unread` those that the reader of the log did not take in time.")
	SettingsReloaded = register(1007, "settings_reloaded", zapcore.InfoLevel,
		"The settings were read again after SIGHUP. `changed` names what is different; what needs a restart is named too.")
	MetricsUnserved = register(1009, "metrics_unserved", zapcore.WarnLevel,
		"The metrics address could not be opened; everything else goes on.")
	SettingsRefused = register(1008, "settings_refused", zapcore.ErrorLevel,
		"The settings that were read after SIGHUP are not good; the old ones stay in use.")
)

// Events about keys and the audit.
var (
	KeysRead = register(1101, "keys_read", zapcore.InfoLevel,
		"The files with certificate, key and authority changed and are in use.")
	KeysRefused = register(1102, "keys_refused", zapcore.ErrorLevel,
		"The files with certificate, key and authority changed and are not good; the old ones stay in use. Mend the files.")
	KeysExpire = register(1103, "keys_expire", zapcore.WarnLevel,
		"The process's certificate ends soon. Put new files in place of the old ones; they are read without a restart.")
	AuditLost = register(1104, "audit_lost", zapcore.WarnLevel,
		"Audit entries were dropped, because the log did not take them in time. The next batch tells how many.")
)

// Events about configuration.
var (
	RecordAccepted = register(2001, "record_accepted", zapcore.InfoLevel,
		"A record of the log is in force on this process from now on.")
	RecordRejected = register(2002, "record_rejected", zapcore.InfoLevel,
		"A record of the log is not accepted, on any process. The field `verdict` says why and `winner_offset` what stands instead.")
	RecordUnreadable = register(2003, "record_unreadable", zapcore.ErrorLevel,
		"An accepted record can't be read by this binary. It takes no work for the subject until it is replaced by a newer one.")
	LogUnavailable = register(2004, "log_unavailable", zapcore.WarnLevel,
		"The platform's log did not answer. The last accepted configuration stays in force.")
	RetentionGap = register(2005, "retention_gap", zapcore.WarnLevel,
		"Records were removed from the log before this process read them. It takes the state from a snapshot or a peer.")
	StateMerged = register(2006, "state_merged", zapcore.InfoLevel,
		"Accepted records were taken from a peer or a snapshot, verbatim.")
	StateRefused = register(2007, "state_refused", zapcore.WarnLevel,
		"A peer's records were not taken: they are older, or do not lead to the state that the peer says it has.")
	SnapshotWritten = register(2008, "snapshot_written", zapcore.InfoLevel,
		"This process appended a snapshot of the accepted records.")
	NoConfiguration = register(2009, "no_configuration", zapcore.WarnLevel,
		"The process has reached neither the log nor a peer since its start and takes no work.")
)

// Events about the platform's store and what peers tell of it.
var (
	StoreLost = register(2101, "store_lost", zapcore.WarnLevel,
		"The platform's store does not answer this process. What it said last stays in force; `proof_age` is how old that is.")
	StoreRegained = register(2102, "store_regained", zapcore.InfoLevel,
		"The platform's store answers this process again.")
	StoreTrimmed = register(2103, "store_trimmed", zapcore.InfoLevel,
		"Records were deleted before they were read; the newest of each key are read instead.")
	ConfigurationInForce = register(2104, "configuration_in_force", zapcore.InfoLevel,
		"A configuration is in force on this process from now on. `source` is the store or the peer that it came from.")
	ConfigurationUnreadable = register(2105, "configuration_unreadable", zapcore.ErrorLevel,
		"A value of the configuration store can't be read; what was in force before stays in force.")
	VersionNamed = register(2106, "version_named", zapcore.InfoLevel,
		"Operators named a new version of a model's weights.")
	ListChanged = register(2107, "list_changed", zapcore.InfoLevel,
		"Endpoints appeared, left or changed their state in the list; the fields name them.")
	EntryUnreadable = register(2108, "entry_unreadable", zapcore.WarnLevel,
		"An entry of the list names no endpoint, because it can't be read. It is not used; the others hold.")
	EndpointChanged = register(2109, "endpoint_changed", zapcore.InfoLevel,
		"A sidecar told of another version, start or switch of its endpoint.")
	PeerFound = register(2110, "peer_found", zapcore.InfoLevel,
		"Another entry was heard for the first time, or again.")
	PeerLost = register(2111, "peer_lost", zapcore.WarnLevel,
		"Another entry was not heard for some time.")
)

// Events about the times at which versions were named.
var (
	NamingsUnread = register(2112, "namings_unread", zapcore.WarnLevel,
		"It could not be read when versions were named; their bounds count from now on as far as this process knows.")
	NamingUnkept = register(2113, "naming_unkept", zapcore.WarnLevel,
		"It could not be kept in the store that a version was named now. Processes that start later rely on the other entries' notes.")
)

// Events about requests.
var (
	RouteChosen = register(3001, "route_chosen", zapcore.InfoLevel,
		"An attempt goes to an endpoint. `cost` and `other_cost` are what was compared, `reason` why this endpoint won.")
	RequestRefused = register(3002, "request_refused", zapcore.InfoLevel,
		"A request was refused and not run. `code` says why.")
	RequestAnswered = register(3003, "request_answered", zapcore.InfoLevel,
		"A caller has its whole answer.")
	RequestUnknown = register(3004, "request_unknown", zapcore.WarnLevel,
		"An attempt may have run and its answer is not whole. The caller was told so.")
	AttemptRetried = register(3005, "attempt_retried", zapcore.InfoLevel,
		"An attempt failed and another one follows, within the retry budget.")
	RetryWithheld = register(3006, "retry_withheld", zapcore.InfoLevel,
		"An attempt failed and none follows. `reason` says whether the budget, the deadline or the kind of call forbids it.")
	ClaimWon = register(3007, "claim_won", zapcore.InfoLevel,
		"An idempotency key was claimed at an offset of the log; the request may run.")
	ClaimLost = register(3008, "claim_lost", zapcore.InfoLevel,
		"An idempotency key is claimed by another attempt; the request is not run by this one.")
	ClaimReleased = register(3009, "claim_released", zapcore.InfoLevel,
		"A claimed request never reached the endpoint, so its key was released.")
	ClaimUnavailable = register(3010, "claim_unavailable", zapcore.WarnLevel,
		"No claim could be made or read back, so the request was refused as not run.")
	ForeignAnswer = register(3011, "foreign_answer", zapcore.ErrorLevel,
		"An endpoint answered with another request's identity or another version. The connection was closed and nothing was passed on.")
	EndpointEjected = register(3012, "endpoint_ejected", zapcore.WarnLevel,
		"An endpoint failed repeatedly and gets no requests for a while.")
	AttemptFailed = register(3013, "attempt_failed", zapcore.InfoLevel,
		"An attempt at an endpoint has no answer to pass on. `may_have_run` says whether the endpoint may have run it, `cause` what was seen.")
)

// Events about requests that crash endpoints.
var (
	EndpointDied = register(3101, "endpoint_died", zapcore.ErrorLevel,
		"The endpoint died. `suspects` counts the requests that were in progress; they run alone until they are cleared.")
	SuspectAlone = register(3102, "suspect_alone", zapcore.InfoLevel,
		"A suspect request runs alone on an endpoint. `death_offset` names the record of the death.")
	SuspectCleared = register(3103, "suspect_cleared", zapcore.InfoLevel,
		"A suspect request ended well while it ran alone, and is no longer suspect.")
	RequestConvicted = register(3104, "request_convicted", zapcore.ErrorLevel,
		"A request is refused, because endpoints died while it ran alone. `death_offset` names the record of the last death.")
	AnswerResumed = register(3105, "answer_resumed", zapcore.InfoLevel,
		"A streamed answer was cut off and goes on from another endpoint with the same version.")
)

// Events about weights and orders.
var (
	PlacementDecided = register(4001, "placement_decided", zapcore.InfoLevel,
		"This sidecar's endpoint is to serve a model, or no longer. `record_offset` names the record.")
	RolloutStarted = register(4002, "rollout_started", zapcore.InfoLevel,
		"The chunks of a version are being fetched. `reused` counts those held already from another version.")
	RolloutProgress = register(4003, "rollout_progress", zapcore.InfoLevel,
		"How far the fetching of a version is, and from where its chunks came.")
	ChunksComplete = register(4004, "chunks_complete", zapcore.InfoLevel,
		"Every chunk and the digest of the whole are verified.")
	ChunkCorrupt = register(4005, "chunk_corrupt", zapcore.WarnLevel,
		"A chunk had another digest and was dropped. A peer that sends several is shunned; a corrupt origin is read again.")
	FetchStalled = register(4006, "fetch_stalled", zapcore.WarnLevel,
		"A source delivered nothing for the chunk timeout; its chunks are asked for elsewhere.")
	OriginUnavailable = register(4007, "origin_unavailable", zapcore.WarnLevel,
		"The origin refused or did not answer. Reads back off; peers go on.")
	OrderGiven = register(4008, "order_given", zapcore.InfoLevel,
		"An order was given to the endpoint under a fencing number.")
	OrderFailed = register(4009, "order_failed", zapcore.WarnLevel,
		"An order was refused or not answered. The endpoint's state is read back before the next one.")
	OrderWithheld = register(4010, "order_withheld", zapcore.WarnLevel,
		"No order was given, because the lease can't be shown to be the newest one.")
	VersionServing = register(4011, "version_serving", zapcore.InfoLevel,
		"The endpoint itself reported the intended digest twice; the version takes requests.")
	VersionWithdrawn = register(4012, "version_withdrawn", zapcore.InfoLevel,
		"The version takes no more requests here. `reason` says why.")
	LeaseAcquired = register(4013, "lease_acquired", zapcore.InfoLevel,
		"This incarnation got a fencing number from the log's order.")
	LeaseLost = register(4014, "lease_lost", zapcore.WarnLevel,
		"A newer incarnation of this sidecar exists; this one gives no more orders and takes no requests.")
)

// Events about membership.
var (
	SidecarAttached = register(5001, "sidecar_attached", zapcore.InfoLevel,
		"A sidecar holds a control stream to this entry.")
	SidecarDetached = register(5002, "sidecar_detached", zapcore.InfoLevel,
		"A sidecar's control stream ended; it gets no new requests from here.")
	SidecarLeaving = register(5003, "sidecar_leaving", zapcore.InfoLevel,
		"A sidecar or the platform's list says that an endpoint leaves; it gets no new requests.")
	EntryReached = register(5004, "entry_reached", zapcore.InfoLevel,
		"This sidecar holds a control stream to an entry.")
	EntryLost = register(5005, "entry_lost", zapcore.WarnLevel,
		"A control stream to an entry ended; it is opened again.")
	ListUnavailable = register(5006, "list_unavailable", zapcore.WarnLevel,
		"The platform's list of instances did not answer; the last one is used.")
	EndpointLost = register(5007, "endpoint_lost", zapcore.WarnLevel,
		"The sidecar can't read its endpoint's report.")
	EndpointRegained = register(5008, "endpoint_regained", zapcore.InfoLevel,
		"The sidecar reads its endpoint's report again.")
)
