package slugevent

import "github.com/sirupsen/logrus"

// Event is the number of a kind of log line.
type Event int

// Description is what the catalogue says of an event.
type Description struct {
	// Level is the severity of the line.
	Level logrus.Level
	// Message is the text of the line, in lower case.
	Message string
	// Action says what an operator should do.
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
	WatcherLeft
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
)

// Events of requests, 400 to 499.
const (
	RequestRefused Event = 400 + iota
	StreamResumed
	StreamContinued
	StreamLost
	EventCrossed
	EndpointCrashed
	RequestSuspected
	RequestQuarantined
	ConnectionSilent
	UsageUnwritten
	BurnAlert
	ClaimUnsettled
	RequestServed
	RequestFailed
	EndpointChosen
	AttemptFailed
)

var descriptions = map[Event]Description{
	StepDone:                {logrus.DebugLevel, "step done", "none"},
	StepSkipped:             {logrus.InfoLevel, "step skipped", "none, unless the step was wanted: the field reason names the setting"},
	ShutdownBegun:           {logrus.InfoLevel, "graceful shutdown begun", "none"},
	ShutdownDone:            {logrus.InfoLevel, "graceful shutdown done", "none"},
	StoreUnavailable:        {logrus.WarnLevel, "platform store is unavailable", "look at the platform; requests go on with the last configuration"},
	StoreAvailable:          {logrus.InfoLevel, "platform store is available again", "none"},
	CertificateReloaded:     {logrus.InfoLevel, "certificate reloaded", "none"},
	CertificateUnusable:     {logrus.ErrorLevel, "certificate cannot be loaded", "mend the files named in the error; the previous certificate stays in use"},
	ProcessStarted:          {logrus.InfoLevel, "process started", "none"},
	ProcessEnded:            {logrus.InfoLevel, "process ended", "none"},
	SettingsReloaded:        {logrus.InfoLevel, "settings read again", "none"},
	SettingsUnusable:        {logrus.ErrorLevel, "settings cannot be used", "mend the settings named in the error; the previous ones stay in use"},
	LinesDropped:            {logrus.WarnLevel, "log lines dropped", "none: the fields say how many lines of which event were over the bound"},
	ConfigurationInForce:    {logrus.InfoLevel, "configuration in force", "none"},
	ConfigurationUnreadable: {logrus.ErrorLevel, "configuration cannot be read", "apply a corrected manifest; the previous revision stays in force"},
	ConfigurationApplied:    {logrus.InfoLevel, "configuration applied", "none"},
	ConfigurationConflict:   {logrus.InfoLevel, "apply refused because of its base", "apply again on the present revision"},
	HostCutOff:              {logrus.WarnLevel, "host is cut off and refuses keyed requests", "look at the network of this host"},
	HostReconnected:         {logrus.InfoLevel, "host is connected again", "none"},
	PeerRejected:            {logrus.WarnLevel, "peer refused", "compare the certificate hash of the peer with its object in the store"},
	StaleReadIgnored:        {logrus.WarnLevel, "older version ignored", "look at the platform's replication if it goes on"},
	EndpointChanged:         {logrus.InfoLevel, "endpoint is new or changed", "none"},
	EndpointGone:            {logrus.InfoLevel, "endpoint is gone", "none"},
	EndpointUnreadable:      {logrus.WarnLevel, "entry of an endpoint cannot be read", "look for who wrote the entry named in the error; the endpoint is not used"},
	PeerSilent:              {logrus.WarnLevel, "peer is silent", "look at the host of the peer"},
	ConfigurationStale:      {logrus.WarnLevel, "configuration may be out of date, requests with keys are refused", "look at the way to the platform's store and to the peers"},
	WatcherLeft:             {logrus.InfoLevel, "watch goes on elsewhere", "look at the process named in the fields if it goes on"},
	ConfigurationFresh:      {logrus.InfoLevel, "configuration is known to be the newest again", "none"},
	DutyTaken:               {logrus.InfoLevel, "duty taken", "none"},
	DutyLost:                {logrus.WarnLevel, "duty lost", "none, unless it goes on: look at pauses of this host"},
	DutyReleased:            {logrus.InfoLevel, "duty released", "none"},
	OrderJournaled:          {logrus.InfoLevel, "order written to the journal", "none"},
	OrderDone:               {logrus.InfoLevel, "order done", "none"},
	OrderFailed:             {logrus.WarnLevel, "order failed", "look at the endpoint; the order is sent again unchanged"},
	OrderWithheld:           {logrus.WarnLevel, "order withheld", "confirm that the previous holder has ended if this lasts"},
	PredecessorConfirmed:    {logrus.InfoLevel, "end of the previous holder confirmed", "none"},
	EndpointOrdered:         {logrus.InfoLevel, "endpoint ordered", "none"},
	EndpointReleased:        {logrus.InfoLevel, "endpoint released", "none"},
	RoleChangePlanned:       {logrus.InfoLevel, "role change planned", "none"},
	WindowReported:          {logrus.InfoLevel, "usage window reported", "none"},
	RecordSealed:            {logrus.WarnLevel, "usage record of a vanished process sealed", "none; the process, if it comes back, carries its rest into the next window"},
	DutyFailed:              {logrus.WarnLevel, "work of a duty failed", "look at the error; the work is tried again"},
	CapacityPlanned:         {logrus.InfoLevel, "capacity planned", "none"},
	UsageFrozen:             {logrus.InfoLevel, "figures of a window frozen", "none"},
	CallFailed:              {logrus.WarnLevel, "call to the platform failed", "look at the platform's interface; the call is made again"},
	RequestRefused:          {logrus.InfoLevel, "request refused", "look at the code"},
	StreamResumed:           {logrus.InfoLevel, "answer resumed at the same endpoint", "none"},
	StreamContinued:         {logrus.InfoLevel, "answer continued at another endpoint", "none"},
	StreamLost:              {logrus.WarnLevel, "answer could not be finished", "look at the endpoints of the service"},
	EventCrossed:            {logrus.WarnLevel, "crossed or duplicate event dropped", "look at the endpoint"},
	EndpointCrashed:         {logrus.WarnLevel, "endpoint crashed", "look at the endpoint"},
	RequestSuspected:        {logrus.WarnLevel, "request suspected after a crash", "none"},
	RequestQuarantined:      {logrus.ErrorLevel, "request quarantined after crashes", "ask the workspace about the request; it is refused until the field until"},
	ConnectionSilent:        {logrus.WarnLevel, "connection went silent", "look at what stands between the hosts"},
	UsageUnwritten:          {logrus.WarnLevel, "usage record not written", "look at the store; totals are kept and written later"},
	ClaimUnsettled:          {logrus.WarnLevel, "outcome of a claimed call not stored", "look at the store; later uses of the key are told that the outcome is unknown"},
	RequestServed:           {logrus.InfoLevel, "request served", "none"},
	RequestFailed:           {logrus.WarnLevel, "request failed", "look at the lines of the same request"},
	EndpointChosen:          {logrus.InfoLevel, "endpoint chosen", "none"},
	AttemptFailed:           {logrus.WarnLevel, "attempt at an endpoint failed", "look at the endpoint if it goes on"},
	BurnAlert:               {logrus.WarnLevel, "service level is burning", "run sassafraslug burn"},
}

// Describe returns the catalogue's entry of e.
func (e Event) Describe() Description {
	d, ok := descriptions[e]
	if !ok {
		return Description{logrus.ErrorLevel, "event without a description", "report a bug"}
	}
	return d
}

// All returns every event with its description.
func All() map[Event]Description { return descriptions }
