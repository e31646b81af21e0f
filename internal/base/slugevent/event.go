package slugevent

import "github.com/sirupsen/logrus"

// Event is the number of a type of log event.
type Event int

// Description describes an event in the catalogue.
type Description struct {
	// Level is the severity of the event.
	Level logrus.Level
	// Message is the text of the log line, in lower case.
	Message string
	// Action tells operators what to do.
	Action string
}

// Events of every process, 100 to 199.
const (
	StepDone Event = 100 + iota
	StepSkipped
	ShutdownBegun
	ShutdownDone
	StoreUnavailable
	StoreAvailable
	CertificateReloaded
	CertificateUnusable
	ProcessStarted
	ProcessEnded
	SettingsReloaded
	SettingsUnusable
	LinesDropped
	RequestAfterClose
	ConnectionUnanswered
	StoreRestored
	HandlerPanicked
	HeadTooLong
	HeadMemoryExhausted
	ConnectionsExhausted
	RequestsExhausted
	CallerStalled
)

// Events of configuration and membership, 200 to 299.
const (
	ConfigurationInForce Event = 200 + iota
	ConfigurationUnreadable
	ConfigurationApplied
	ConfigurationConflict
	HostCutOff
	HostReconnected
	PeerRejected
	StaleReadIgnored
	EndpointChanged
	EndpointGone
	EndpointUnreadable
	PeerSilent
	ConfigurationStale
	ConfigurationFresh
	WatchMoved
	QuotaOwnerChanged
	QuotaOwnerUnreachable
	WatchSourceChosen
	ConfigurationNotFetched
)

// Events of duties, 300 to 399.
const (
	DutyTaken Event = 300 + iota
	DutyLost
	DutyReleased
	OrderJournaled
	OrderDone
	OrderFailed
	OrderWithheld
	PredecessorConfirmed
	EndpointOrdered
	EndpointReleased
	RoleChangePlanned
	WindowReported
	RecordSealed
	DutyFailed
	CapacityPlanned
	UsageFrozen
	CallFailed
	RenewalFailed
	UsageSkipped
	RecordReloaded
	DrainsUnreadable
)

// Events of requests, 400 to 499.
const (
	RequestRefused Event = 400 + iota
	StreamResumed
	StreamContinued
	StreamLost
	EventRejected
	EndpointCrashed
	RequestSuspected
	RequestQuarantined
	ConnectionSilent
	UsageWriteFailed
	BurnAlert
	ClaimOutcomeUnstored
	RequestServed
	RequestFailed
	EndpointChosen
	AttemptFailed
	QuarantineAdopted
	QuarantineEnded
	QuarantineUnreadable
	EndpointLimited
	EndpointUnlimited
	LimitUnreadable
	EndpointSaidLeaving
	EndpointAskedToWait
	NoticeUnreadable
	EndpointReturned
	StreamTakenUp
	StreamKept
	LoadUnreadable
	QuotaExceeded
	ExtraSent
	ExtraEnded
	ExtraRefused
	PromptDeferred
	EndpointRestarted
	PathLost
	PathRestored
	EndpointsUnreached
	NoticeUntold
	CallerLeft
)

var descriptions = map[Event]Description{
	StepDone:                {logrus.DebugLevel, "startup step done", "none"},
	StepSkipped:             {logrus.InfoLevel, "startup step skipped", "none, unless the step is needed: the field reason names the setting"},
	ShutdownBegun:           {logrus.InfoLevel, "graceful shutdown started", "none"},
	ShutdownDone:            {logrus.InfoLevel, "graceful shutdown finished", "none"},
	StoreUnavailable:        {logrus.WarnLevel, "platform store is unavailable", "check the platform; requests continue with the last configuration"},
	StoreAvailable:          {logrus.InfoLevel, "platform store is available again", "none"},
	CertificateReloaded:     {logrus.InfoLevel, "certificate reloaded", "none"},
	CertificateUnusable:     {logrus.ErrorLevel, "certificate cannot be loaded", "fix the files named in the error; the previous certificate stays in use"},
	ProcessStarted:          {logrus.InfoLevel, "process started", "none"},
	ProcessEnded:            {logrus.InfoLevel, "process ended", "none"},
	SettingsReloaded:        {logrus.InfoLevel, "settings reloaded", "none"},
	SettingsUnusable:        {logrus.ErrorLevel, "settings cannot be used", "fix the settings named in the error; the previous ones stay in use"},
	LinesDropped:            {logrus.WarnLevel, "log lines dropped", "none; the fields give the number of lines dropped per event by the rate limit, and in unread those dropped because the log output was blocked"},
	RequestAfterClose:       {logrus.InfoLevel, "request dropped because its connection was being closed", "none: the request was not handled"},
	ConnectionUnanswered:    {logrus.WarnLevel, "connection closed before the request on it was answered", "report it as a fault, unless it occurs at the end of a process's grace period or the caller was too slow"},
	StoreRestored:           {logrus.WarnLevel, "platform store was restored from a copy", "none, if the restore was planned; requests continue with the configuration in effect, and what the copy lacks is written again: check that the newest configuration is in the store"},
	HandlerPanicked:         {logrus.ErrorLevel, "handler of a request panicked", "report it as a fault, with the stack; the caller got 500, or a closed connection if part of the response was written"},
	HeadTooLong:             {logrus.InfoLevel, "head of a request refused because it is too long", "none: the caller got 431, and nothing was run; raise the limit in the configuration if the caller is to be served"},
	HeadMemoryExhausted:     {logrus.WarnLevel, "head of a request refused for lack of memory", "find the callers that send heads of very many lines, or raise limits.headMemory; those refused got 503, and nothing was run"},
	ConnectionsExhausted:    {logrus.WarnLevel, "connection closed or refused because there are too many", "find the callers that hold connections, or raise limits.connections; no request on the connection was run"},
	RequestsExhausted:       {logrus.WarnLevel, "request refused because too many are being handled", "add hosts, or raise limits.requests; the caller got 503, and nothing was run"},
	CallerStalled:           {logrus.InfoLevel, "connection or stream of a caller ended because it made no progress", "none, unless many callers complain: raise limits.bodyStall or limits.writeStall"},
	ConfigurationInForce:    {logrus.InfoLevel, "configuration is in effect", "none, unless unconfirmedMs is long, the time since the version before was last known to be the newest: source names the process that sent the configuration (empty for the store), via how (watch, report of a peer, start), failures and failingMs the failed calls before, and reportedMs the time since a peer reported a newer version"},
	ConfigurationUnreadable: {logrus.ErrorLevel, "configuration cannot be read", "apply a corrected manifest; the previous revision stays in effect"},
	ConfigurationApplied:    {logrus.InfoLevel, "configuration applied", "none"},
	ConfigurationConflict:   {logrus.InfoLevel, "change refused because it is not based on the current revision", "apply the change again on the current revision"},
	HostCutOff:              {logrus.WarnLevel, "host is cut off and refuses requests with keys", "check the network of this host"},
	HostReconnected:         {logrus.InfoLevel, "host is connected again", "none"},
	PeerRejected:            {logrus.WarnLevel, "connection from unknown peer refused", "compare the certificate hash of the peer with its object in the store"},
	StaleReadIgnored:        {logrus.WarnLevel, "read of an older version ignored", "check the replication of the platform's store if this persists"},
	EndpointChanged:         {logrus.InfoLevel, "endpoint is new or changed", "none"},
	EndpointGone:            {logrus.InfoLevel, "endpoint is gone", "none"},
	EndpointUnreadable:      {logrus.WarnLevel, "entry of an endpoint cannot be decoded", "find out who wrote the entry named in the error; the endpoint is not used"},
	PeerSilent:              {logrus.WarnLevel, "peer does not respond", "check the host of the peer"},
	ConfigurationStale:      {logrus.WarnLevel, "configuration may be out of date, requests with keys are refused", "check the connections to the platform's store and to the peers"},
	WatchMoved:              {logrus.InfoLevel, "watch moved to another source", "check the process named in the fields if this persists"},
	QuotaOwnerChanged:       {logrus.InfoLevel, "owner of workspace quotas changed", "none; the field owner is empty while there is none, and requests beyond the tokens at hand are refused for about two seconds"},
	WatchSourceChosen:       {logrus.InfoLevel, "watch has a new source", "check the hosts named if this persists: the field to is empty for the store itself, failures counts the calls before that failed, ageMs is the time since the watched objects were last known to be complete, storeFailingMs is the time for which the store has not answered this host, and cores and linkMbps are the capacity of the source"},
	ConfigurationNotFetched: {logrus.WarnLevel, "newer configuration could not be fetched from peers", "check the processes named in the error if this persists; the fetch is repeated"},
	QuotaOwnerUnreachable:   {logrus.WarnLevel, "no owner of workspace quotas can be reached, own share is used", "check the network of this host if this persists; it admits its equal share of the quotas only"},
	ConfigurationFresh:      {logrus.InfoLevel, "configuration is confirmed to be up to date again", "none"},
	DutyTaken:               {logrus.InfoLevel, "duty taken", "none"},
	DutyLost:                {logrus.WarnLevel, "duty lost", "none, unless this persists: check this host for pauses"},
	DutyReleased:            {logrus.InfoLevel, "duty released", "none"},
	OrderJournaled:          {logrus.InfoLevel, "order written to the journal", "none"},
	OrderDone:               {logrus.InfoLevel, "order done", "none"},
	OrderFailed:             {logrus.WarnLevel, "order failed", "check the endpoint; the order is sent again unchanged"},
	OrderWithheld:           {logrus.WarnLevel, "order withheld", "confirm that the previous holder has ended if this persists"},
	PredecessorConfirmed:    {logrus.InfoLevel, "previous holder confirmed as ended", "none"},
	EndpointOrdered:         {logrus.InfoLevel, "endpoint ordered", "none"},
	EndpointReleased:        {logrus.InfoLevel, "endpoint released", "none"},
	RoleChangePlanned:       {logrus.InfoLevel, "role change planned", "none"},
	WindowReported:          {logrus.InfoLevel, "usage window reported", "none"},
	RecordSealed:            {logrus.WarnLevel, "usage record of a missing process sealed", "none; if the process returns, it reports the remaining usage in the next window"},
	DutyFailed:              {logrus.WarnLevel, "work of a duty failed", "check the error; the work is retried"},
	CapacityPlanned:         {logrus.InfoLevel, "capacity planned", "none"},
	UsageFrozen:             {logrus.InfoLevel, "usage of a window finalized", "none"},
	CallFailed:              {logrus.WarnLevel, "call to the platform failed", "check the platform's interface; the call is retried"},
	RenewalFailed:           {logrus.WarnLevel, "renewal of a lease failed", "check the store; the duty is held until the time in remainingMs is over"},
	UsageSkipped:            {logrus.WarnLevel, "usage windows not reported", "none; the store was restored, and an earlier holder of the duty may have reported these windows with other counts"},
	RecordReloaded:          {logrus.WarnLevel, "record of a duty read again after a restore of the store", "none"},
	DrainsUnreadable:        {logrus.WarnLevel, "drains cannot be decoded", "find out who wrote the object; the drains of before stay in effect"},
	CallerLeft:              {logrus.InfoLevel, "request dropped because its caller had left before it was read", "none, unless many requests are dropped: this host is short of processor time, or stood still; timing is described at event 412"},
	RequestRefused:          {logrus.InfoLevel, "request refused", "the field code gives the reason; timing is described at event 412"},
	StreamResumed:           {logrus.InfoLevel, "response stream resumed at the same endpoint", "none"},
	StreamContinued:         {logrus.InfoLevel, "response stream continued at another endpoint", "none"},
	StreamLost:              {logrus.WarnLevel, "response stream could not be completed", "check the endpoints of the service"},
	EventRejected:           {logrus.WarnLevel, "event of another request or out-of-sequence event rejected", "check the endpoint"},
	EndpointCrashed:         {logrus.WarnLevel, "endpoint crashed", "check the endpoint"},
	RequestSuspected:        {logrus.WarnLevel, "request suspected of causing a crash", "none"},
	RequestQuarantined:      {logrus.ErrorLevel, "request quarantined after repeated crashes", "contact the workspace about the request, or about the part of prompts that the field trait identifies; it is refused until the time in the field until, or for the duration in forMs"},
	QuarantineAdopted:       {logrus.WarnLevel, "quarantine taken over from the store", "none; the process that decided logged event 407 with the crashes"},
	QuarantineEnded:         {logrus.InfoLevel, "quarantine ended", "none"},
	EndpointLimited:         {logrus.WarnLevel, "endpoint states a rate limit", "check the endpoint: it is in need; requests beyond the limit go to others"},
	EndpointUnlimited:       {logrus.InfoLevel, "endpoint no longer states a rate limit", "none"},
	LimitUnreadable:         {logrus.WarnLevel, "rate limit of an endpoint cannot be read", "check the endpoint; the limit that it stated before stays in effect"},
	EndpointSaidLeaving:     {logrus.InfoLevel, "endpoint says in a response that it is leaving", "none; the host sends it nothing more, whatever its entry says, until it starts anew"},
	EndpointAskedToWait:     {logrus.WarnLevel, "endpoint turned a request away and asks to be left alone", "check the endpoint: it is in need; requests go to others for the time in the field retryAfterMs"},
	NoticeUnreadable:        {logrus.WarnLevel, "time to wait that an endpoint states cannot be read", "check the endpoint; it is avoided for a moment only, as without a time"},
	EndpointReturned:        {logrus.InfoLevel, "endpoint that said that it is leaving has started again", "none"},
	StreamTakenUp:           {logrus.InfoLevel, "caller takes up a stream", "none; without a softwareVersion the request is refused: the stream began at one of several versions, and the hosts that knew which have failed, or the hosts that answer were not current all the time"},
	QuotaExceeded:           {logrus.InfoLevel, "workspace exceeds its quota", "none, or a higher quota in the configuration; the field refused is the number of requests refused at this host since its start"},
	StreamKept:              {logrus.InfoLevel, "response of a silent endpoint is waited for", "check the endpoint if this persists; the field reason says why no other one takes over"},
	LoadUnreadable:          {logrus.WarnLevel, "load that an endpoint states cannot be read", "check the endpoint; its requests are counted as if it stated none"},
	ExtraSent:               {logrus.InfoLevel, "extra attempt sent because the response is slow", "none; the field extra names the second endpoint, and afterMs the time without a response"},
	ExtraEnded:              {logrus.InfoLevel, "extra attempt ended", "none; with won true its response was used"},
	ExtraRefused:            {logrus.DebugLevel, "extra attempt not sent", "none; the field reason says why"},
	PromptDeferred:          {logrus.InfoLevel, "late prompt waited for its turn", "none in a burst; if this persists, more engines are needed: the field deferredMs is the time that it waited, and firstWaitMs and waitMs the wait at the engine before and after"},
	PathLost:                {logrus.WarnLevel, "endpoint is reached only through peers", "check the links of this host: a peer reaches the endpoint, and direct connections fail; lostPaths counts such endpoints, and reachedAgeMs is the time since the last direct connection to any"},
	PathRestored:            {logrus.InfoLevel, "endpoint is reached directly again", "none"},
	EndpointsUnreached:      {logrus.WarnLevel, "this host reaches endpoints only through peers", "check the links of this host to the endpoints; it serves through its peers meanwhile"},
	NoticeUntold:            {logrus.WarnLevel, "peer was not told what an endpoint said", "none, unless this persists: the peer may send a few requests to an endpoint that is leaving or asked to be left alone"},
	EndpointRestarted:       {logrus.InfoLevel, "endpoint states another start than its entry", "none, unless this persists: check why the endpoint does not write its new entry; streams that it begins are not continued elsewhere until that is read"},
	QuarantineUnreadable:    {logrus.ErrorLevel, "quarantine in the store cannot be decoded", "find out who wrote the object named in the fields, and remove it"},
	ConnectionSilent:        {logrus.WarnLevel, "connection stopped responding", "check the network between the hosts"},
	UsageWriteFailed:        {logrus.WarnLevel, "usage record could not be written", "check the store; totals are kept and written later"},
	ClaimOutcomeUnstored:    {logrus.WarnLevel, "outcome of a call with an idempotency key could not be stored", "check the store; later calls with the key get the answer that the outcome is unknown"},
	RequestServed:           {logrus.InfoLevel, "request served", "none; the field timing says where the time went: queuedMs from the arrival of the request to its reading, endMs since the caller ended its connection (-1: not known), and for each handover to an endpoint its purpose and cause, atMs from the arrival to the choice, connectMs and writeMs until it had a connection and was written, and unseenMs, which bounds how long before the write the caller may have left"},
	RequestFailed:           {logrus.WarnLevel, "request failed", "check the other log lines of the request; timing is described at event 412"},
	EndpointChosen:          {logrus.InfoLevel, "endpoint chosen", "none"},
	AttemptFailed:           {logrus.WarnLevel, "attempt at an endpoint failed", "check the endpoint if this persists"},
	BurnAlert:               {logrus.WarnLevel, "error budget of a service is burning too fast", "run sassafraslug burn"},
}

// Describe returns the description of e, or a placeholder if it has none.
func (e Event) Describe() Description {
	d, ok := descriptions[e]
	if !ok {
		return Description{logrus.ErrorLevel, "event without a description", "report a bug"}
	}
	return d
}

// All returns all events with their descriptions. The map must not be changed.
func All() map[Event]Description { return descriptions }
