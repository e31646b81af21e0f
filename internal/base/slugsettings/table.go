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

// All returns every setting with its default, in the order of the manual.
func All() []Setting {
	return []Setting{
		name("host", "name", "Name of this host in the platform's host list", func(s *Settings) *string { return (*string)(&s.Host) }),
		name("host", "dataCentre", "Data centre of this host", func(s *Settings) *string { return (*string)(&s.DataCentre) }),
		name("host", "region", "Region of this host", func(s *Settings) *string { return (*string)(&s.Region) }),
		{"platform", "address", "http://127.0.0.1:7000", "http:// or https:// address", "Address of the platform's services", all, urlValue(func(s *Settings) *string { return &s.PlatformAddress })},
		address("callers", "listen", "127.0.0.1:8080", "Address for callers", Gate|Host, false, func(s *Settings) *string { return &s.CallersListen }),
		address("callers", "advertise", "", "Address that callers are told; empty means callers.listen", Gate, true, func(s *Settings) *string { return &s.CallersAdvertise }),
		text("callers", "tlsCertificate", "Certificate chain for callers in PEM; empty means no TLS", Gate, func(s *Settings) *string { return &s.CallersCertificate }),
		text("callers", "tlsKey", "Key of the certificate in PEM", Gate, func(s *Settings) *string { return &s.CallersKey }),
		number("callers", "maxBodyBytes", "16777216", 1, 1<<30, "Greatest body of a request in bytes", Gate, func(s *Settings) *int64 { return &s.MaxBodyBytes }),
		number("callers", "memoryBytes", "268435456", 1<<16, 1<<36, "Memory for the bodies of all requests in bytes", Gate, func(s *Settings) *int64 { return &s.MemoryBytes }),
		number("callers", "maxHeaderBytes", "32768", 1024, 1<<20, "Greatest size of a request's headers in bytes", Gate, func(s *Settings) *int64 { return &s.MaxHeaderBytes }),
		number("callers", "maxConnections", "20000", 1, 1<<20, "Greatest number of callers' connections", Gate, func(s *Settings) *int64 { return &s.MaxConnections }),
		duration("callers", "bodyTimeout", "30s", "Time to receive a body", Gate, func(s *Settings) *time.Duration { return &s.BodyTimeout }),
		duration("callers", "writeTimeout", "30s", "Time for a caller to take what is written", Gate, func(s *Settings) *time.Duration { return &s.WriteTimeout }),
		number("callers", "queueLength", "1024", 1, 1<<20, "Greatest number of waiting requests of a service", Gate|Host, func(s *Settings) *int64 { return &s.QueueLength }),
		duration("callers", "answerAge", "10s", "How long callers keep the answer of a look-up", Gate|Host, func(s *Settings) *time.Duration { return &s.AnswerAge }),
		duration("callers", "progress", "5s", "How long an answer may go without an event before its connection is distrusted", Gate, func(s *Settings) *time.Duration { return &s.Progress }),
		address("operators", "listen", "127.0.0.1:8081", "Address for operators", both, false, func(s *Settings) *string { return &s.OperatorsListen }),
		address("operators", "advertise", "", "Address that other processes are told; empty means operators.listen", both, true, func(s *Settings) *string { return &s.OperatorsAdvertise }),
		text("operators", "tokenFile", "File with the token that operators present", both, func(s *Settings) *string { return &s.OperatorsTokenFile }),
		address("peers", "listen", "127.0.0.1:8082", "UDP address for other processes", all, false, func(s *Settings) *string { return &s.PeersListen }),
		address("peers", "advertise", "", "Address that other processes are told; empty means peers.listen", all, true, func(s *Settings) *string { return &s.PeersAdvertise }),
		duration("usage", "window", "1m0s", "Length of an accounting window, in whole seconds, equal on all hosts", all, func(s *Settings) *time.Duration { return &s.UsageWindow }),
		duration("duties", "leaseTime", "9s", "How long a duty is held without a renewal, equal on all hosts", Control|Host, func(s *Settings) *time.Duration { return &s.LeaseTime }),
		{"log", "level", "info", "error, warn, info or debug", "Least severity of log lines", all, levelValue},
		address("ready", "listen", "127.0.0.1:8083", "Address for the platform's question whether the host is ready", Host, false, func(s *Settings) *string { return &s.ReadyListen }),
		address("directory", "listen", "127.0.0.1:8084", "Address for callers' look-ups", Host, false, func(s *Settings) *string { return &s.DirectoryListen }),
		address("metrics", "listen", "127.0.0.1:8085", "Address for metrics", Host, false, func(s *Settings) *string { return &s.MetricsListen }),
		{"duties", "address", "http://127.0.0.1:7000", "http:// or https:// address", "Address of the interfaces for ordering endpoints and for usage reports", Host, urlValue(func(s *Settings) *string { return &s.DutiesAddress })},
		bound("revoke", "5s", "How long after a key was taken away a request with it may still run", func(s *Settings) *time.Duration { return &s.Revoke }),
		bound("configApply", "2s", "How long after its acceptance a configuration must be in force", func(s *Settings) *time.Duration { return &s.ConfigApply }),
		bound("drain", "2s", "How long a leaving endpoint may still receive work", func(s *Settings) *time.Duration { return &s.Drain }),
		bound("grace", "8s", "How long a process has to end after it was told", func(s *Settings) *time.Duration { return &s.Grace }),
		bound("stability", "3s", "How long a disturbance is felt after its end", func(s *Settings) *time.Duration { return &s.Stability }),
		bound("retryWindow", "10s", "Time over which requests sent again are counted", func(s *Settings) *time.Duration { return &s.RetryWindow }),
		fraction("retryRatio", "0.2", 0, 1, "Requests sent again for each request", func(s *Settings) *float64 { return &s.RetryRatio }),
		fraction("retryExtra", "50", 0, 1e6, "Requests that may be sent again besides, in each window, by all processes together", func(s *Settings) *float64 { return &s.RetryExtra }),
		bound("usageLate", "10s", "How long after its end a window's usage is due", func(s *Settings) *time.Duration { return &s.UsageLate }),
	}
}

var errValue = errors.New("wrong value")

func check(ok bool) error {
	if ok {
		return nil
	}
	return errValue
}

func name(section, key, purpose string, field func(*Settings) *string) Setting {
	return Setting{section, key, "", "1 to 63 lower-case letters, digits, dots and hyphens", purpose, all, func(s *Settings, v string) error {
		*field(s) = v
		return check(slugname.Host(v).Valid())
	}}
}

func text(section, key, purpose string, d Daemon, field func(*Settings) *string) Setting {
	return Setting{section, key, "", "file name", purpose, d, func(s *Settings, v string) error {
		*field(s) = v
		return nil
	}}
}

func address(section, key, standard, purpose string, d Daemon, optional bool, field func(*Settings) *string) Setting {
	return Setting{section, key, standard, "IP:PORT", purpose, d, func(s *Settings, v string) error {
		*field(s) = v
		if v == "" && optional {
			return nil
		}
		_, err := netip.ParseAddrPort(v)
		return err
	}}
}

func number(section, key, standard string, least, most int64, purpose string, d Daemon, field func(*Settings) *int64) Setting {
	allowed := strconv.FormatInt(least, 10) + " to " + strconv.FormatInt(most, 10)
	return Setting{section, key, standard, allowed, purpose, d, func(s *Settings, v string) error {
		n, err := strconv.ParseInt(v, 10, 64)
		*field(s) = n
		return errors.CombineErrors(err, check(n >= least && n <= most))
	}}
}

// Bounds of durations.
const (
	leastDuration = time.Second
	mostDuration  = time.Hour
)

func duration(section, key, standard, purpose string, d Daemon, field func(*Settings) *time.Duration) Setting {
	allowed := leastDuration.String() + " to " + mostDuration.String()
	return Setting{section, key, standard, allowed, purpose, d, func(s *Settings, v string) error {
		x, err := time.ParseDuration(v)
		*field(s) = x
		whole := section != "usage" || x%time.Second == 0
		return errors.CombineErrors(err, check(x >= leastDuration && x <= mostDuration && whole))
	}}
}

// bound is a time that the platform's operators hold the system to.
func bound(key, standard, purpose string, field func(*Settings) *time.Duration) Setting {
	allowed := "0s to " + mostDuration.String()
	return Setting{"bounds", key, standard, allowed, purpose, Host, func(s *Settings, v string) error {
		x, err := time.ParseDuration(v)
		*field(s) = x
		return errors.CombineErrors(err, check(x >= 0 && x <= mostDuration))
	}}
}

func fraction(key, standard string, least, most float64, purpose string, field func(*Settings) *float64) Setting {
	allowed := strconv.FormatFloat(least, 'g', -1, 64) + " to " + strconv.FormatFloat(most, 'g', -1, 64)
	return Setting{"bounds", key, standard, allowed, purpose, Host, func(s *Settings, v string) error {
		x, err := strconv.ParseFloat(v, 64)
		*field(s) = x
		return errors.CombineErrors(err, check(x >= least && x <= most))
	}}
}

func urlValue(field func(*Settings) *string) func(*Settings, string) error {
	return func(s *Settings, v string) error {
		*field(s) = v
		for _, scheme := range []string{"http://", "https://"} {
			if len(v) > len(scheme) && v[:len(scheme)] == scheme {
				_, _, err := net.SplitHostPort(v[len(scheme):])
				return err
			}
		}
		return errValue
	}
}

func levelValue(s *Settings, v string) error {
	s.LogLevel = v
	_, err := logrus.ParseLevel(v)
	return err
}

func loopback(address string) bool {
	a, err := netip.ParseAddrPort(address)
	return err == nil && a.Addr().IsLoopback()
}
