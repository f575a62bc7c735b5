package logger

import "go.uber.org/zap/zapcore"

// Events of every process.
var (
	ProcessStarted = register(1001, "process_started", zapcore.InfoLevel,
		"The process has read its settings and accepts connections.")
	ProcessDraining = register(1002, "process_draining", zapcore.InfoLevel,
		"A shutdown was requested. The process accepts no new work and finishes the work in progress.")
	ProcessStopped = register(1003, "process_stopped", zapcore.InfoLevel,
		"The process exits. The field `cut_off` counts the requests that did not finish within the drain timeout; it should be 0.")
	ThroughOffsetFell = register(1004, "through_offset_fell", zapcore.FatalLevel,
		"The process was about to revert to an older configuration. This is a bug; the process exits. Report it.")
	QueueFull = register(1005, "queue_full", zapcore.WarnLevel,
		"The control queue was full and an event was dropped; its sender sends it again. A common cause is a lack of CPU time.")
)

// Events of processes that call endpoints directly.
var (
	LinesDropped = register(1006, "lines_dropped", zapcore.WarnLevel,
		"Log lines were dropped to limit the volume. The fields count them by event; `unread` counts those that the reader of the log did not read in time.")
	SettingsReloaded = register(1007, "settings_reloaded", zapcore.InfoLevel,
		"The settings file was read again, after SIGHUP or because it had changed, and is valid. `changed` lists the settings that differ from those in use. `seeds` take effect at once, the others after a restart.")
	MetricsUnserved = register(1009, "metrics_unserved", zapcore.WarnLevel,
		"The metrics can't be served on their address. The process continues without them.")
	ProcessPaused = register(1010, "process_paused", zapcore.WarnLevel,
		"The process did not run for some time, given in `pause`: its instance was suspended or had no processor time. Calls to it were not answered meanwhile, and what arrived is handled now.")
	CallersEvicted = register(1011, "callers_evicted", zapcore.WarnLevel,
		"Callers hold all the memory or connections that the process has for them, so some had to give way. The fields count them since the start: `stalled` had stopped in a request, `youngest` had begun a large one last, `idle` had no request, and `refused` are new connections that were closed at once. `memory_bytes` and `connections` are what all callers hold now. Logged once a second at most.")
	SettingsRefused = register(1008, "settings_refused", zapcore.ErrorLevel,
		"The settings file was read again, after SIGHUP or because it had changed, and is invalid. The process continues with the settings in use, but would not start with this file.")
)

// Events about TLS keys and the audit log.
var (
	KeysRead = register(1101, "keys_read", zapcore.InfoLevel,
		"The certificate, key and authority files changed and were reloaded.")
	KeysRefused = register(1102, "keys_refused", zapcore.ErrorLevel,
		"The certificate, key and authority files changed and are invalid. The old ones stay in use. Fix the files.")
	KeysExpire = register(1103, "keys_expire", zapcore.WarnLevel,
		"The certificate of the process expires soon. Replace the files; they are reloaded without a restart.")
	AuditLost = register(1104, "audit_lost", zapcore.WarnLevel,
		"Audit entries were dropped because the log did not accept them in time. The next batch contains their number.")
)

// Events about configuration.
var (
	RecordAccepted = register(2001, "record_accepted", zapcore.InfoLevel,
		"A record of the log is now in force on this process.")
	RecordRejected = register(2002, "record_rejected", zapcore.InfoLevel,
		"A record of the log was rejected, as it is on every process. `verdict` is the reason and `winner_offset` the record that is in force instead.")
	RecordUnreadable = register(2003, "record_unreadable", zapcore.ErrorLevel,
		"This binary can't decode an accepted record. It accepts no work for the subject until a newer record replaces it.")
	LogUnavailable = register(2004, "log_unavailable", zapcore.WarnLevel,
		"The platform's log did not respond. The last accepted configuration stays in force.")
	RetentionGap = register(2005, "retention_gap", zapcore.WarnLevel,
		"Records were removed from the log before this process read them. It restores the state from a snapshot or a peer.")
	StateMerged = register(2006, "state_merged", zapcore.InfoLevel,
		"Accepted records were copied verbatim from a peer or a snapshot.")
	StateRefused = register(2007, "state_refused", zapcore.WarnLevel,
		"A peer's records were not applied: they are older, or do not produce the state that the peer reports.")
	SnapshotWritten = register(2008, "snapshot_written", zapcore.InfoLevel,
		"This process appended a snapshot of the accepted records.")
	NoConfiguration = register(2009, "no_configuration", zapcore.WarnLevel,
		"The process has reached neither the log nor a peer since its start. It accepts no work.")
)

// Events about the platform's store and the state that peers replicate from it.
var (
	StoreLost = register(2101, "store_lost", zapcore.WarnLevel,
		"The platform's store does not respond to this process. The last state read stays in force; `proof_age` is its age.")
	StoreRegained = register(2102, "store_regained", zapcore.InfoLevel,
		"The platform's store responds to this process again.")
	StoreRestored = register(2118, "store_restored", zapcore.WarnLevel,
		"The platform's store was restored from an older copy of itself: it has lost what was written since. `before` and `after` are its epochs. The newest value of each key is read again; what is known to be newer or removed is kept. Until the lost values have had time to be written again, a read does not confirm the configuration.")
	StoreEpochUnknown = register(2119, "store_epoch_unknown", zapcore.WarnLevel,
		"An answer of the platform's store does not tell the store's epoch, or not legibly. The epoch counts as unchanged, so a restored store may go unnoticed.")
	StoreTrimmed = register(2103, "store_trimmed", zapcore.InfoLevel,
		"Records were deleted before they were read. The newest record of each key is read instead.")
	ConfigurationInForce = register(2104, "configuration_in_force", zapcore.InfoLevel,
		"A configuration is now in force on this process. `source` is the store or the peer that it came from.")
	ConfigurationUnreadable = register(2105, "configuration_unreadable", zapcore.ErrorLevel,
		"A value of the configuration store can't be decoded. The previous configuration stays in force.")
	VersionNamed = register(2106, "version_named", zapcore.InfoLevel,
		"The operators set a new version of a model's weights.")
	VersionDated = register(2121, "version_dated", zapcore.InfoLevel,
		"No entry noticed when a version was named. It counts as named `age` ago, when entries last told a sidecar of an older version.")
	ListChanged = register(2107, "list_changed", zapcore.InfoLevel,
		"Endpoints were added to the list, removed from it or changed their state. The fields name them.")
	EntryUnreadable = register(2108, "entry_unreadable", zapcore.WarnLevel,
		"An entry of the endpoint list can't be decoded and is ignored. The others are used.")
	EndpointChanged = register(2109, "endpoint_changed", zapcore.InfoLevel,
		"A sidecar reported another version, a restart or a version switch of its endpoint.")
	EndpointLeaving = register(2115, "endpoint_leaving", zapcore.InfoLevel,
		"An endpoint said in an answer that it is leaving. It gets no more requests from this entry until it starts anew, whatever the list says.")
	EndpointBackoff = register(2116, "endpoint_backoff", zapcore.InfoLevel,
		"An endpoint turned a request away and wants no more of this entry for the time in `backoff`.")
	EndpointBackoffEnded = register(2120, "endpoint_backoff_ended", zapcore.InfoLevel,
		"The backoff of an endpoint is over, so that this entry sends it requests again. Logged up to a second later.")
	AdviceUnreadable = register(2117, "advice_unreadable", zapcore.WarnLevel,
		"An endpoint's answer has a header about the requests that it accepts which is not plausible. It is ignored; `problem` names it. Logged once per endpoint and minute.")
	EndpointLimited = register(2114, "endpoint_limited", zapcore.InfoLevel,
		"An endpoint changed its limit: how many requests per second it accepts from all entries together. `limit` is 0 if it names none any more; `before` is the earlier one.")
	ZoneEvacuated = register(2122, "zone_evacuated", zapcore.WarnLevel,
		"The operators evacuated an availability zone. Its endpoints get no new requests from this process; running ones are finished. `source` is the store or the peer that it came from, `age` the time since an entry first knew of it.")
	ZoneTakenBack = register(2123, "zone_taken_back", zapcore.InfoLevel,
		"The operators withdrew the evacuation of an availability zone, so that its endpoints get requests again. `lasted` is how long it was evacuated, as known here.")
	EvacuationUnknown = register(2124, "evacuation_unknown", zapcore.ErrorLevel,
		"The operators evacuated, or took back, an availability zone that this process does not know. It has no effect; check the name.")
	RequestsKeptFromZones = register(2125, "requests_kept_from_zones", zapcore.InfoLevel,
		"Requests were kept from evacuated zones since the last such line: `refused` have no endpoint elsewhere, and `redecided` were about to be sent there when the evacuation became known. Logged once a second at most; requests that other endpoints run from the start are not counted.")
	PeerFound = register(2110, "peer_found", zapcore.InfoLevel,
		"A message from another entry arrived for the first time, or again after it was lost.")
	PeerLost = register(2111, "peer_lost", zapcore.WarnLevel,
		"No message from another entry arrived for some time.")
)

// Events about the times at which the operators set versions.
var (
	NamingsUnread = register(2112, "namings_unread", zapcore.WarnLevel,
		"The times at which versions were set could not be read. This process counts their time bounds from now.")
	NamingUnkept = register(2113, "naming_unkept", zapcore.WarnLevel,
		"The time at which a version was set could not be written to the store for a minute. Processes that start later rely on the times recorded by other entries.")
)

// Events about requests.
var (
	RouteChosen = register(3001, "route_chosen", zapcore.InfoLevel,
		"An attempt was routed to an endpoint. `cost` and `other_cost` are the costs that were compared, `reason` is why this endpoint was chosen. For an endpoint with an older version, `bound_left` is the time in which it may still begin requests, as far as this process knows.")
	RequestRefused = register(3002, "request_refused", zapcore.InfoLevel,
		"A request was refused and not run. `code` is the reason.")
	RequestAnswered = register(3003, "request_answered", zapcore.InfoLevel,
		"The complete answer was sent to the caller.")
	RequestUnknown = register(3004, "request_unknown", zapcore.WarnLevel,
		"An attempt may have run, but its answer is missing or incomplete. The caller was informed.")
	AttemptRetried = register(3005, "attempt_retried", zapcore.InfoLevel,
		"An attempt failed and is retried within the retry budget.")
	RetryWithheld = register(3006, "retry_withheld", zapcore.InfoLevel,
		"An attempt failed and is not retried. `reason` says whether the retry budget, the deadline or the kind of call prevents it.")
	ClaimWon = register(3007, "claim_won", zapcore.InfoLevel,
		"An idempotency key was claimed at an offset of the log. The request may run.")
	ClaimLost = register(3008, "claim_lost", zapcore.InfoLevel,
		"Another attempt holds the claim on the idempotency key. This attempt does not run the request.")
	ClaimReleased = register(3009, "claim_released", zapcore.InfoLevel,
		"A claimed request never reached the endpoint, so the claim on its key was released.")
	ClaimUnavailable = register(3010, "claim_unavailable", zapcore.WarnLevel,
		"The claim could not be written or read back, so the request was refused as not run.")
	ForeignAnswer = register(3011, "foreign_answer", zapcore.ErrorLevel,
		"An endpoint answered with another request's id or another version. The connection was closed and nothing was forwarded to the caller.")
	EndpointEjected = register(3012, "endpoint_ejected", zapcore.WarnLevel,
		"An endpoint failed repeatedly and receives no requests for a while.")
	AttemptFailed = register(3013, "attempt_failed", zapcore.InfoLevel,
		"An attempt at an endpoint failed without an answer to forward. `may_have_run` says whether the endpoint may have run it; `cause` is the error.")
)

// HandlerPanicked reports a fault of this program.
var HandlerPanicked = register(3014, "handler_panicked", zapcore.ErrorLevel,
	"A request met a fault of this program. Its caller was told that the outcome is unknown, or, within an answer, its connection was closed. This is a bug; report it with the `stack`.")

// Events about requests that crash endpoints.
var (
	EndpointDied = register(3101, "endpoint_died", zapcore.ErrorLevel,
		"The endpoint crashed. `suspects` counts the requests that were in progress; each runs alone on an endpoint until it is cleared. Entries that call endpoints directly log a line for each request in progress, with the shared `parts` of its prompt and whether its answer had `begun`.")
	SuspectAlone = register(3102, "suspect_alone", zapcore.InfoLevel,
		"A suspect request runs alone on an endpoint. `death_offset` is the offset of the record of the crash.")
	SuspectCleared = register(3103, "suspect_cleared", zapcore.InfoLevel,
		"A suspect request ran alone without a crash and is no longer suspect.")
	RequestConvicted = register(3104, "request_convicted", zapcore.ErrorLevel,
		"A request is refused because endpoints crashed while it ran alone. `death_offset` is the offset of the record of the last crash.")
	AnswerResumed = register(3105, "answer_resumed", zapcore.InfoLevel,
		"A streamed answer was interrupted and is resumed on another endpoint with the same version.")
	TrialStarted = register(3106, "trial_started", zapcore.WarnLevel,
		"A request runs although it is convicted by `key`. If it crashes an endpoint, the conviction lasts longer; if its answer begins, the conviction ends on all entries.")
	CrashRecorded = register(3107, "crash_recorded", zapcore.ErrorLevel,
		"An endpoint crashed. `suspects` are the keys of the requests in progress on this entry that may have caused it: of whole requests and of the shared parts of their prompts, where the answer had not begun.")
	ConvictionsChanged = register(3108, "convictions_changed", zapcore.ErrorLevel,
		"The keys that are refused because endpoints crashed under them have changed. `convicted` are all of them.")
)

// Events about requests that wait, are refused or come back.
var (
	AdmissionDecided = register(3109, "admission_decided", zapcore.InfoLevel,
		"A request that did not start at once was admitted or refused. `cause` says why; `share` is the share of its priority that is admitted, `freed` how many slots per second are freed for this entry, `free_slots` those that are free at the endpoints, also for other entries, `slots` those of all ready endpoints, `own_demand` and `peer_demand` those that the callers of this entry and of all others would occupy. `repeat`: it was refused before; `punctual`: it came back at a time with a kept place. `retry_after` and `kept` are what a refused caller was told. `flamingoledge-node losses` sums these lines up.")
	AnswerLate = register(3110, "answer_late", zapcore.InfoLevel,
		"The first output of a request came after its objective. `cause` is `waiting` if it would have come in time without the wait since the caller first sent the request, else `endpoint`.")
)

// Events about the spreading of load.
var (
	HomesFollowDemand = register(3120, "homes_follow_demand", zapcore.InfoLevel,
		"The demand of an entry's callers has changed by a third or more. Endpoints of the service get their homes anew. The fields are the levels of demand, of which three are a doubling.")
)

// Events about weights and orders.
var (
	PlacementDecided = register(4001, "placement_decided", zapcore.InfoLevel,
		"A placement decision assigned a model to this sidecar's endpoint or removed it. `record_offset` is the offset of the configuration record.")
	RolloutStarted = register(4002, "rollout_started", zapcore.InfoLevel,
		"The download of a version's chunks started. `reused` counts the chunks that are already held from another version.")
	RolloutProgress = register(4003, "rollout_progress", zapcore.InfoLevel,
		"The progress of the download of a version, and the sources of its chunks.")
	ChunksComplete = register(4004, "chunks_complete", zapcore.InfoLevel,
		"Every chunk and the digest of all weights were verified. `read_back` counts the chunks that the endpoint still had from an earlier process of the sidecar.")
	ChunkCorrupt = register(4005, "chunk_corrupt", zapcore.WarnLevel,
		"A chunk did not match its digest and was dropped. A peer that sends several corrupt chunks is avoided; chunks from the origin are read again.")
	FetchStalled = register(4006, "fetch_stalled", zapcore.WarnLevel,
		"A source sent nothing within the chunk timeout. Its chunks are requested from other sources.")
	OriginUnavailable = register(4007, "origin_unavailable", zapcore.WarnLevel,
		"The origin refused a read or did not respond. Reads back off; transfers from peers continue.")
	OrderGiven = register(4008, "order_given", zapcore.InfoLevel,
		"An order was sent to the endpoint with a fencing number.")
	OrderFailed = register(4009, "order_failed", zapcore.WarnLevel,
		"The endpoint refused an order or did not respond. Its state is read back before the next order.")
	OrderWithheld = register(4010, "order_withheld", zapcore.WarnLevel,
		"No order was sent because the lease could not be verified to be the newest one.")
	VersionServing = register(4011, "version_serving", zapcore.InfoLevel,
		"The endpoint itself reported the intended digest twice. The version accepts requests.")
	VersionWithdrawn = register(4012, "version_withdrawn", zapcore.InfoLevel,
		"The version accepts no more requests on this instance. `reason` says why.")
	LeaseAcquired = register(4013, "lease_acquired", zapcore.InfoLevel,
		"This incarnation of the sidecar got a fencing number, derived from its position in the log.")
	WeightsKept = register(4015, "weights_kept", zapcore.InfoLevel,
		"The chunks of a version in one `partition` are in the platform's store. `written` is false if another sidecar had written them. `deleted` counts older versions whose records were deleted.")
	WeightsUnkept = register(4016, "weights_unkept", zapcore.WarnLevel,
		"The chunks of a version are not in the platform's store. `reason` says why: the store is unavailable, in which case the write is repeated later, or the weights do not fit its limits. After a loss of power they would come from the origin.")
	WeightsReadBack = register(4017, "weights_read_back", zapcore.InfoLevel,
		"The chunks of a version in one `partition` were read from the platform's store and verified.")
	WeightsUnread = register(4018, "weights_unread", zapcore.WarnLevel,
		"Chunks of a version could not be read from the platform's store and come from the origin or from peers instead. `reason` says why: the store is unavailable, does not hold the version, or holds chunks that do not match their digests, which `corrupt` counts.")
	LeaseLost = register(4014, "lease_lost", zapcore.WarnLevel,
		"A newer incarnation of this sidecar exists. This one sends no more orders and accepts no requests.")
)

// Events about membership.
var (
	SidecarAttached = register(5001, "sidecar_attached", zapcore.InfoLevel,
		"A sidecar opened a control stream to this entry.")
	SidecarDetached = register(5002, "sidecar_detached", zapcore.InfoLevel,
		"A sidecar's control stream ended. This entry sends it no new requests.")
	SidecarLeaving = register(5003, "sidecar_leaving", zapcore.InfoLevel,
		"A sidecar or the platform's list reports that an endpoint is leaving. It receives no new requests.")
	EntryReached = register(5004, "entry_reached", zapcore.InfoLevel,
		"This sidecar opened a control stream to an entry.")
	EntryLost = register(5005, "entry_lost", zapcore.WarnLevel,
		"A control stream to an entry ended. It is reopened.")
	ListUnavailable = register(5006, "list_unavailable", zapcore.WarnLevel,
		"The platform's list of instances could not be read. The last one read stays in use.")
	EndpointLost = register(5007, "endpoint_lost", zapcore.WarnLevel,
		"The sidecar can't read the report of its endpoint.")
	EndpointRegained = register(5008, "endpoint_regained", zapcore.InfoLevel,
		"The sidecar can read the report of its endpoint again.")
)
