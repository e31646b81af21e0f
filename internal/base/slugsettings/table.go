package slugsettings

import (
	"net"
	"net/netip"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sirupsen/logrus"
)

// All returns all settings in the order of the manual.
func All() []Setting {
	return []Setting{
		nameSetting("host", "name", "Name of this host in the platform's host list", func(s *Settings) *string { return (*string)(&s.Host) }),
		nameSetting("host", "dataCentre", "Data centre of this host", func(s *Settings) *string { return (*string)(&s.DataCentre) }),
		nameSetting("host", "region", "Region of this host", func(s *Settings) *string { return (*string)(&s.Region) }),
		capacitySetting("cores", 1024, "Processor time that this host may use, in cores; 0 means unknown", func(s *Settings) *float64 { return &s.Cores }),
		capacitySetting("linkMbps", 1e6, "Bandwidth of this host in Mbit/s; 0 means unknown", func(s *Settings) *float64 { return &s.LinkMbps }),
		{"platform", "address", "http://127.0.0.1:7000", "http:// or https:// address", "Address of the platform's services", allDaemons, urlSetter(func(s *Settings) *string { return &s.PlatformAddress }), AtStart},
		addressSetting("callers", "listen", "127.0.0.1:8080", "Address for callers", Gate|Host, false, func(s *Settings) *string { return &s.CallersListen }),
		addressSetting("callers", "advertise", "", "Address announced to callers; empty means callers.listen", Gate, true, func(s *Settings) *string { return &s.CallersAdvertise }),
		fileSetting("callers", "tlsCertificate", "Certificate chain for callers in PEM; empty means no TLS", Gate, func(s *Settings) *string { return &s.CallersCertificate }),
		fileSetting("callers", "tlsKey", "Key of the certificate in PEM", Gate, func(s *Settings) *string { return &s.CallersKey }),
		integerSetting("callers", "maxBodyBytes", "16777216", 1, 1<<30, "Maximum size of a request body in bytes", Gate, func(s *Settings) *int64 { return &s.MaxBodyBytes }),
		integerSetting("callers", "memoryBytes", "268435456", 1<<16, 1<<36, "Maximum memory for the bodies of all requests in bytes", Gate, func(s *Settings) *int64 { return &s.MemoryBytes }),
		integerSetting("callers", "maxHeaderBytes", "32768", 1024, 1<<20, "Maximum size of the request headers in bytes", Gate, func(s *Settings) *int64 { return &s.MaxHeaderBytes }),
		integerSetting("callers", "maxConnections", "20000", 1, 1<<20, "Maximum number of connections from callers", Gate, func(s *Settings) *int64 { return &s.MaxConnections }),
		durationSetting("callers", "bodyTimeout", "30s", "Timeout for receiving a request body", Gate, func(s *Settings) *time.Duration { return &s.BodyTimeout }),
		durationSetting("callers", "writeTimeout", "30s", "Timeout for writing to a caller", Gate, func(s *Settings) *time.Duration { return &s.WriteTimeout }),
		integerSetting("callers", "queueLength", "1024", 1, 1<<20, "Maximum number of queued requests per service", Gate|Host, func(s *Settings) *int64 { return &s.QueueLength }),
		durationSetting("callers", "answerAge", "10s", "How long callers may cache the result of a look-up", Gate|Host, func(s *Settings) *time.Duration { return &s.AnswerAge }),
		durationSetting("callers", "progress", "5s", "Maximum time without an event in a response before its connection is considered broken", Gate, func(s *Settings) *time.Duration { return &s.Progress }),
		addressSetting("operators", "listen", "127.0.0.1:8081", "Address for operators", gateAndControl, false, func(s *Settings) *string { return &s.OperatorsListen }),
		addressSetting("operators", "advertise", "", "Address announced to other processes; empty means operators.listen", gateAndControl, true, func(s *Settings) *string { return &s.OperatorsAdvertise }),
		fileSetting("operators", "tokenFile", "File with the token that operators must present", gateAndControl, func(s *Settings) *string { return &s.OperatorsTokenFile }),
		addressSetting("peers", "listen", "127.0.0.1:8082", "UDP address for other processes", allDaemons, false, func(s *Settings) *string { return &s.PeersListen }),
		addressSetting("peers", "advertise", "", "Address announced to other processes; empty means peers.listen", allDaemons, true, func(s *Settings) *string { return &s.PeersAdvertise }),
		durationSetting("usage", "window", "1m0s", "Length of a usage accounting window, in whole seconds; must be equal on all hosts", allDaemons, func(s *Settings) *time.Duration { return &s.UsageWindow }),
		durationSetting("duties", "leaseTime", "9s", "How long a duty is held without renewal of its lease; must be equal on all hosts", Control|Host, func(s *Settings) *time.Duration { return &s.LeaseTime }),
		boolSetting("duties", "firstStart", "Whether the whole system starts for the first time, so that no duty was ever held", Host, func(s *Settings) *bool { return &s.FirstStart }),
		{"log", "level", "info", "error, warn, info or debug", "Lowest severity of log lines", allDaemons, setLogLevel, WhileRunning},
		addressSetting("ready", "listen", "127.0.0.1:8083", "Address of the readiness check for the platform", Host, false, func(s *Settings) *string { return &s.ReadyListen }),
		addressSetting("directory", "listen", "127.0.0.1:8084", "Address for callers' look-ups", Host, false, func(s *Settings) *string { return &s.DirectoryListen }),
		addressSetting("metrics", "listen", "127.0.0.1:8085", "Address for metrics and for the questions of operators (sassafraslug where); must be reachable by operators only", Host, false, func(s *Settings) *string { return &s.MetricsListen }),
		{"duties", "address", "http://127.0.0.1:7000", "http:// or https:// address", "Address of the platform's services for ordering endpoints and for usage reports", Host, urlSetter(func(s *Settings) *string { return &s.DutiesAddress }), AtStart},
		boundSetting("revoke", "5s", "How long after the revocation of a key its requests may still run", func(s *Settings) *time.Duration { return &s.Revoke }),
		boundSetting("configApply", "2s", "How long after its acceptance a configuration must be in effect", func(s *Settings) *time.Duration { return &s.ConfigApply }),
		boundSetting("drain", "2s", "How long an endpoint that is being removed may still receive requests", func(s *Settings) *time.Duration { return &s.Drain }),
		boundSetting("grace", "8s", "How long a process has to shut down after it was asked to", func(s *Settings) *time.Duration { return &s.Grace }),
		boundSetting("stability", "3s", "How long the effects of a disturbance may last after its end", func(s *Settings) *time.Duration { return &s.Stability }),
		boundSetting("retryWindow", "10s", "Time window over which retries are counted", func(s *Settings) *time.Duration { return &s.RetryWindow }),
		floatSetting("bounds", "retryRatio", "0.2", 0, 1, "Maximum ratio of retries to requests", func(s *Settings) *float64 { return &s.RetryRatio }),
		floatSetting("bounds", "retryExtra", "50", 0, 1e6, "Additional retries allowed in each window for all processes together", func(s *Settings) *float64 { return &s.RetryExtra }),
		boundSetting("usageLate", "10s", "How long after the end of a window its usage must be reported", func(s *Settings) *time.Duration { return &s.UsageLate }),
		boundSetting("quotaWindow", "8s", "Time window over which the use of a workspace's quota is counted", func(s *Settings) *time.Duration { return &s.QuotaWindow }),
		floatSetting("bounds", "quotaOverage", "0.1", 0, 1, "Fraction of a workspace's quota by which its use may exceed it in a window, over all hosts", func(s *Settings) *float64 { return &s.QuotaOverage }),
		floatSetting("bounds", "quotaSlack", "190000", 0, 1e12, "Further use allowed in each window beyond a workspace's quota, in the unit of the quota; one request may be larger than the burst by half of it", func(s *Settings) *float64 { return &s.QuotaSlack }),
		{"extra", "share", "0", "0 to 0.5", "Maximum ratio of extra attempts against slow responses to requests, by service; 0 turns them off", Host, setExtraShare, AtStart},
		floatSetting("limits", "memoryMegabytes", "0", 0, 1e7, "Memory of the machine in units of 1,000,000 bytes, which the process stays within; 0 means unknown", func(s *Settings) *float64 { return &s.MemoryMegabytes }),
		integerSetting("limits", "descriptors", "0", 0, 1<<24, "Number of file descriptors that the process may open; 0 means the limit of the operating system", Host, func(s *Settings) *int64 { return &s.Descriptors }),
		integerSetting("limits", "headMemory", "8388608", 1<<16, 1<<34, "Maximum memory for the heads of requests on all connections in bytes, in which each line counts 256 and each byte 2; short heads are read beyond it", Host, func(s *Settings) *int64 { return &s.HeadMemory }),
		integerSetting("limits", "connections", "0", 0, 1<<20, "Maximum number of connections from callers, at which those that wait for a request are closed for new ones; 0 means 40% of the descriptors, and at most one for each 144,000 bytes of a known memory", Host, func(s *Settings) *int64 { return &s.Connections }),
		integerSetting("limits", "requests", "0", 0, 1<<20, "Maximum number of requests of callers that are served at the same time; 0 means 35% of the descriptors, and at most one for each 192,000 bytes of a known memory", Host, func(s *Settings) *int64 { return &s.Requests }),
		integerSetting("limits", "http2Connections", "0", 0, 1<<20, "Maximum number of HTTP/2 connections from callers, at which those without a request are closed for new ones; 0 means an eighth of the connections", Host, func(s *Settings) *int64 { return &s.HTTP2Connections }),
		integerSetting("limits", "streams", "32", 1, 1000, "Maximum number of concurrent requests on an HTTP/2 connection", Host, func(s *Settings) *int64 { return &s.Streams }),
		durationSetting("limits", "bodyStall", "10s", "How long the body of a request may take beyond the time that its bytes take at limits.bodyRate", Host, func(s *Settings) *time.Duration { return &s.BodyStall }),
		integerSetting("limits", "bodyRate", "1024", 1, 1<<30, "Least rate at which the body of a request must arrive, in bytes per second", Host, func(s *Settings) *int64 { return &s.BodyRate }),
		durationSetting("limits", "writeStall", "10s", "How long a caller may take no byte of a response before its connection is closed", Host, func(s *Settings) *time.Duration { return &s.WriteStall }),
	}
}

var errNotAllowed = errors.New("value is not allowed")

func errorUnless(ok bool) error {
	if ok {
		return nil
	}
	return errNotAllowed
}

// nameSetting returns a required setting that holds a slugname.Name.
func nameSetting(section, key, purpose string, field func(*Settings) *string) Setting {
	return Setting{section, key, "", "1 to 63 lower-case letters, digits, dots and hyphens", purpose, allDaemons, func(s *Settings, v string) error {
		*field(s) = v
		return errorUnless(slugname.Host(v).Valid())
	}, AtStart}
}

// fileSetting returns an optional setting that holds a file name. It doesn't check whether
// the file exists.
func fileSetting(section, key, purpose string, d Daemon, field func(*Settings) *string) Setting {
	return Setting{section, key, "", "file name", purpose, d, func(s *Settings, v string) error {
		*field(s) = v
		return nil
	}, AtStart}
}

// addressSetting returns a setting that holds an IP address and port, and may be empty if
// it is optional.
func addressSetting(section, key, defaultValue, purpose string, d Daemon, optional bool, field func(*Settings) *string) Setting {
	return Setting{section, key, defaultValue, "IP:PORT", purpose, d, func(s *Settings, v string) error {
		*field(s) = v
		if v == "" && optional {
			return nil
		}
		_, err := netip.ParseAddrPort(v)
		return err
	}, AtStart}
}

func integerSetting(section, key, defaultValue string, minimum, maximum int64, purpose string, d Daemon, field func(*Settings) *int64) Setting {
	allowed := strconv.FormatInt(minimum, 10) + " to " + strconv.FormatInt(maximum, 10)
	return Setting{section, key, defaultValue, allowed, purpose, d, func(s *Settings, v string) error {
		n, err := strconv.ParseInt(v, 10, 64)
		*field(s) = n
		return errors.CombineErrors(err, errorUnless(n >= minimum && n <= maximum))
	}, AtStart}
}

// Allowed range of duration settings; bounds may also be shorter than minDuration.
const (
	minDuration = time.Second
	maxDuration = time.Hour
)

// durationSetting returns a duration setting. In the section usage, only whole seconds are
// allowed.
func durationSetting(section, key, defaultValue, purpose string, d Daemon, field func(*Settings) *time.Duration) Setting {
	allowed := minDuration.String() + " to " + maxDuration.String()
	return Setting{section, key, defaultValue, allowed, purpose, d, func(s *Settings, v string) error {
		x, err := time.ParseDuration(v)
		*field(s) = x
		wholeSeconds := section != "usage" || x%time.Second == 0
		return errors.CombineErrors(err, errorUnless(x >= minDuration && x <= maxDuration && wholeSeconds))
	}, AtStart}
}

// boundSetting returns a duration setting in the section bounds, which changes while the
// daemon runs.
func boundSetting(key, defaultValue, purpose string, field func(*Settings) *time.Duration) Setting {
	allowed := "0s to " + maxDuration.String()
	return Setting{"bounds", key, defaultValue, allowed, purpose, Host, func(s *Settings, v string) error {
		x, err := time.ParseDuration(v)
		*field(s) = x
		return errors.CombineErrors(err, errorUnless(x >= 0 && x <= maxDuration))
	}, WhileRunning}
}

// boolSetting returns a setting that is false by default.
func boolSetting(section, key, purpose string, d Daemon, field func(*Settings) *bool) Setting {
	return Setting{section, key, "false", "true or false", purpose, d, func(s *Settings, v string) error {
		*field(s) = v == "true"
		return errorUnless(v == "true" || v == "false")
	}, AtStart}
}

// capacitySetting returns a setting of what a host may use, which is 0 by default.
func capacitySetting(key string, maximum float64, purpose string, field func(*Settings) *float64) Setting {
	allowed := "0 to " + strconv.FormatFloat(maximum, 'f', -1, 64)
	return Setting{"host", key, "0", allowed, purpose, Host, func(s *Settings, v string) error {
		x, err := strconv.ParseFloat(v, 64)
		*field(s) = x
		return errors.CombineErrors(err, errorUnless(x >= 0 && x <= maximum))
	}, AtStart}
}

// floatSetting returns a floating-point setting of a host. Those in the section bounds change
// while the daemon runs.
func floatSetting(section, key, defaultValue string, minimum, maximum float64, purpose string, field func(*Settings) *float64) Setting {
	reload := AtStart
	if section == "bounds" {
		reload = WhileRunning
	}
	allowed := strconv.FormatFloat(minimum, 'g', -1, 64) + " to " + strconv.FormatFloat(maximum, 'g', -1, 64)
	return Setting{section, key, defaultValue, allowed, purpose, Host, func(s *Settings, v string) error {
		x, err := strconv.ParseFloat(v, 64)
		*field(s) = x
		return errors.CombineErrors(err, errorUnless(x >= minimum && x <= maximum))
	}, reload}
}

// urlSetter returns a function that sets a field to an http or https URL with a host and a
// port. The port is not checked further.
func urlSetter(field func(*Settings) *string) func(*Settings, string) error {
	return func(s *Settings, v string) error {
		*field(s) = v
		for _, scheme := range []string{"http://", "https://"} {
			if len(v) > len(scheme) && v[:len(scheme)] == scheme {
				_, _, err := net.SplitHostPort(v[len(scheme):])
				return err
			}
		}
		return errNotAllowed
	}
}

// maxExtraShare is the largest share of extra attempts: beyond it they are no exception.
const maxExtraShare = 0.5

func setExtraShare(s *Settings, v string) error {
	x, err := strconv.ParseFloat(v, 64)
	s.ExtraShare = x
	return errors.CombineErrors(err, errorUnless(x >= 0 && x <= maxExtraShare))
}

func setLogLevel(s *Settings, v string) error {
	s.LogLevel = v
	_, err := logrus.ParseLevel(v)
	return err
}

func isLoopback(address string) bool {
	a, err := netip.ParseAddrPort(address)
	return err == nil && a.Addr().IsLoopback()
}
