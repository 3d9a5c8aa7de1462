// Package settings loads the settings file of the daemon: what a process needs to start and
// to reach the control group. Everything that operators change while the system runs is part of
// the intent instead.
package settings

import (
	"io"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"time"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/instance/inifile"
)

// Settings holds the validated settings of one daemon.
type Settings struct {
	Instance Instance
	Listen   Listen
	TLS      TLS
	Control  Control
	Limits   Limits
	Upstream Upstream
	Log      Log
}

// Instance identifies the instance and configures its storage and shutdown.
type Instance struct {
	// Name is unique among all instances. It may be kept when the disk is replaced.
	Name string `ini:"name" allow:"required"`
	// FailureDomain is the failure domain in which the instance runs.
	FailureDomain string `ini:"failure_domain" allow:"required"`
	// DataFolder holds all files. An instance without one only follows the control group.
	DataFolder string `ini:"data_folder"`
	// DrainTimeout limits a graceful shutdown, measured from the signal.
	DrainTimeout time.Duration `ini:"drain_timeout" default:"10m" allow:"1s..24h"`
	// DrainDelay is how long the instance reports "not ready" but still accepts requests, until
	// the load balancer has noticed.
	DrainDelay time.Duration `ini:"drain_delay" default:"5s" allow:"0s..5m"`
}

// Listen holds the addresses of the listeners; port 0 selects a free port.
type Listen struct {
	// Callers serves callers, announcements of upstreams and the readiness check, behind the load
	// balancer.
	Callers string `ini:"callers" default:"127.0.0.1:8080" allow:"address"`
	// Operators serves the administration API and metrics.
	Operators string `ini:"operators" default:"127.0.0.1:8081" allow:"address"`
	// Peers serves links from other instances.
	Peers string `ini:"peers" default:"127.0.0.1:8082" allow:"address"`
	// EventLoops is the number of event loops per listener; 0 means one per core.
	EventLoops int `ini:"event_loops" default:"0" allow:"0..256"`
}

// TLS enables TLS on all listeners. The files are reloaded when they change.
type TLS struct {
	Certificate string `ini:"certificate"`
	Key         string `ini:"key"`
	// PeerAuthority is the certificate authority that verifies the certificates of peers; empty
	// means those of the system.
	PeerAuthority string `ini:"peer_authority"`
}

// Control configures how the instance reaches the control group.
type Control struct {
	// Seeds are the peer addresses of the instances that are contacted first.
	Seeds []string `ini:"seeds" allow:"address"`
	// PeerKeyFile holds the credential that all instances share.
	PeerKeyFile string `ini:"peer_key_file"`
	// Founders are the names of the instances that found the control group, each
	// with its peer address as name@address. Only needed with an empty data folder.
	Founders []string `ini:"founders"`
	// FoundingIntent is the intent file that becomes revision 1.
	FoundingIntent string `ini:"founding_intent"`
	// Lease is how long after the last contact with the control group the configuration is still
	// considered current.
	Lease time.Duration `ini:"configuration_lease" default:"5s" allow:"1s..10s"`
}

// Limits protect the instance from slow, large or many requests.
type Limits struct {
	// MaxHeader and MaxBody limit the header and the body of a request, in bytes.
	MaxHeader int `ini:"max_header_bytes" default:"16384" allow:"1024..1048576"`
	MaxBody   int `ini:"max_body_bytes" default:"4194304" allow:"1024..268435456"`
	// MaxConnections limits the open connections per listener.
	MaxConnections int `ini:"max_connections" default:"20000" allow:"1..1000000"`
	// IdleTimeout is the time after which a connection without a request is closed.
	IdleTimeout time.Duration `ini:"idle_timeout" default:"75s" allow:"1s..1h"`
	// ReadTimeout limits the time until a request has been received completely.
	ReadTimeout time.Duration `ini:"read_timeout" default:"30s" allow:"1s..1h"`
	// WriteTimeout limits how long a caller may block a write to it.
	WriteTimeout time.Duration `ini:"write_timeout" default:"30s" allow:"1s..1h"`
}

// Upstream holds the limits of connections to upstreams.
type Upstream struct {
	// ConnectTimeout limits the time to establish a connection.
	ConnectTimeout time.Duration `ini:"connect_timeout" default:"500ms" allow:"1ms..1m"`
	// FirstByteTimeout limits the wait for the first byte of a response.
	FirstByteTimeout time.Duration `ini:"first_byte_timeout" default:"60s" allow:"1ms..1h"`
	// Silence limits the time between two events of a stream.
	Silence time.Duration `ini:"stream_silence" default:"5s" allow:"1ms..1h"`
	// MaxEvent limits one event of a stream, in bytes. A stream with a larger one counts as broken.
	MaxEvent int `ini:"max_event_bytes" default:"2097152" allow:"1024..268435456"`
	// IdleAge is how long a pooled connection may be idle before it is closed.
	IdleAge time.Duration `ini:"idle_age" default:"10s" allow:"0s..10m"`
	// Attempts limits the attempts of a request.
	Attempts int `ini:"attempts" default:"3" allow:"1..10"`
}

// Log sets the log level.
type Log struct {
	Level string `ini:"level" default:"info" allow:"debug|info|warn|error"`
}

// Load reads and checks a settings file. All faults are returned at once, as an
// *inifile.FaultsError. Relative paths are relative to the folder of the file.
func Load(path string) (*Settings, error) {
	f, err := inifile.Load(path)
	if err != nil {
		return nil, err
	}
	s := &Settings{}
	for _, section := range s.sections() {
		f.Decode(section.name, section.target)
	}
	s.checkCombinations(f)
	if err := f.Err(); err != nil {
		return nil, err
	}
	s.resolvePaths(filepath.Dir(path))
	return s, nil
}

type section struct {
	name   string
	target any
}

func (s *Settings) sections() []section {
	return []section{
		{"instance", &s.Instance}, {"listen", &s.Listen}, {"tls", &s.TLS}, {"control", &s.Control},
		{"limits", &s.Limits}, {"upstream", &s.Upstream}, {"log", &s.Log},
	}
}

// Describe writes all keys with their defaults and allowed values.
func Describe(w io.Writer) {
	for _, section := range (&Settings{}).sections() {
		inifile.Describe(w, section.name, reflect.ValueOf(section.target).Elem().Interface())
	}
}

// checkCombinations checks the rules that concern several keys, and the format of founders.
func (s *Settings) checkCombinations(f *inifile.File) {
	if (s.TLS.Certificate == "") != (s.TLS.Key == "") {
		f.AddFault("tls", "key", s.TLS.Key, "certificate and key must be set together")
	}
	if len(s.Control.Seeds) > 0 && s.Control.PeerKeyFile == "" {
		f.AddFault("control", "peer_key_file", "", "required with seeds: connections to peers need a credential")
	}
	if len(s.Control.Founders) > 0 && s.Instance.DataFolder == "" {
		f.AddFault("instance", "data_folder", "", "required with founders: a founder stores control state")
	}
	for _, founder := range s.Control.Founders {
		if _, err := ParseFounder(founder); err != nil {
			f.AddFault("control", "founders", founder, "name@address is needed, such as a1@127.0.0.1:8082")
		}
	}
}

func (s *Settings) resolvePaths(dir string) {
	for _, p := range []*string{
		&s.Instance.DataFolder, &s.TLS.Certificate, &s.TLS.Key, &s.TLS.PeerAuthority,
		&s.Control.PeerKeyFile, &s.Control.FoundingIntent,
	} {
		if *p != "" && !filepath.IsAbs(*p) {
			*p = filepath.Join(dir, *p)
		}
	}
}

// Founder is a founding member of the control group.
type Founder struct{ Name, Address string }

// ParseFounder parses a founder in the form name@address.
func ParseFounder(text string) (Founder, error) {
	name, addr, ok := strings.Cut(text, "@")
	if !ok || name == "" || addr == "" {
		return Founder{}, fault.New(fault.Invalid, "%q is not name@address", text)
	}
	return Founder{Name: name, Address: addr}, nil
}

// ReadKey reads a credential from a file, without surrounding white space.
func ReadKey(path string) (string, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return "", fault.Wrap(err, fault.Invalid, "read the credential file %s", path)
	}
	key := strings.TrimSpace(string(b))
	if len(key) < minKeyLen {
		return "", fault.New(fault.Invalid, "%s: a credential has at least %d characters", path, minKeyLen)
	}
	return key, nil
}

// minKeyLen is the minimum length of a credential, in bytes.
const minKeyLen = 16
