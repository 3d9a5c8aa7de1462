// Package load is the load and experiment tool: it reads an experiment from an
// INI file, offers the same load to each of several systems, checks that every
// answer is whole and its caller's own, and reports attainment, goodput and
// wasted work. The format is described in docs/BENCH.md.
package load

import (
	"time"

	"github.com/comfreyladder/comfreyladder/core/intent"
	"github.com/comfreyladder/comfreyladder/operator/standin/engine"
	"github.com/comfreyladder/comfreyladder/operator/standin/service"
)

// Experiment is one file. All its durations and rates are already scaled by
// Settings.Speed: they are those of the clock on the wall.
type Experiment struct {
	Settings Settings
	Engines  Engines
	Runners  []Runners
	Traffic  []Traffic
	Calls    []Calls
	Faults   []FaultAt
	// Intent is the configuration that the router under test is given: that of
	// the intent file with API keys and upstream credentials of the experiment.
	Intent *intent.Document
}

// Settings is the section [experiment].
type Settings struct {
	Name string `ini:"name" allow:"required"`
	// Intent is the path of an intent file, relative to the experiment's.
	Intent string `ini:"intent" allow:"required"`
	// Policies are run one after the other on the same load.
	Policies []string `ini:"policies" default:"fifo, strict, known"`
	Seeds    []string `ini:"seeds" default:"1"`
	// Duration is how long requests arrive, Drain how long outcomes are awaited
	// after that.
	Duration time.Duration `ini:"duration" allow:"required 100ms..24h"`
	Drain    time.Duration `ini:"drain" default:"60s" allow:"0s..24h"`
	// Speed divides all durations and multiplies all rates.
	Speed float64 `ini:"speed" default:"1" allow:"0.01..1000"`
	// Sample is the time between samples of the queues.
	Sample time.Duration `ini:"sample" default:"500ms" allow:"1ms..1h"`
	// Bin is the width of the plots' points of attainment.
	Bin time.Duration `ini:"bin" default:"5s" allow:"10ms..1h"`
	// Targets are addresses of running instances for the policy "remote".
	Targets []string `ini:"targets" allow:"address"`
	// KeyPrefix, followed by an organisation's name, is that organisation's key.
	KeyPrefix string `ini:"key_prefix" default:"bench-"`
	// UpstreamKey is the credential with which the stand-ins announce themselves.
	UpstreamKey string `ini:"upstream_key" default:"bench-upstream"`
	// Fleet says whether the tool runs the stand-ins itself ("own") or whether
	// they run elsewhere ("none"); then wasted work is not measured.
	Fleet string `ini:"fleet" default:"own" allow:"own|none"`
}

// Engines is the section [engines]: the fleet of stand-in engines.
type Engines struct {
	// Prefix of the names, which a trust rule of the intent must cover.
	Prefix      string        `ini:"prefix" default:"engine-"`
	Count       int           `ini:"count" allow:"required 1..2000"`
	Domains     []string      `ini:"domains" default:"hall"`
	Slots       int           `ini:"slots" default:"16" allow:"1..100000"`
	Prefill     time.Duration `ini:"prefill" default:"150us" allow:"1ns..1s"`
	Step        time.Duration `ini:"step" default:"20ms" allow:"1us..10s"`
	StepEach    time.Duration `ini:"step_each" default:"500us" allow:"0s..1s"`
	CacheTokens int           `ini:"cache_tokens" default:"100000" allow:"1..100000000"`
	EventDelay  time.Duration `ini:"event_delay" default:"1s" allow:"0s..1h"`
	EventLoss   float64       `ini:"event_loss" default:"0" allow:"0..1"`
	ReportLag   time.Duration `ini:"report_lag" default:"2s" allow:"0s..30s"`
}

// Runners is a section [service.NAME]: stand-ins of a plain service.
type Runners struct {
	Service string `ini:"-"`
	Prefix  string `ini:"prefix" allow:"required"`
	Count   int    `ini:"count" default:"1" allow:"1..2000"`
}

// Traffic is a section [traffic.CLASS]: the requests of one class.
type Traffic struct {
	Class string `ini:"-"`
	// Rate is the mean arrivals a second outside of bursts.
	Rate float64 `ini:"rate" allow:"required 0..1000000"`
	// Bursts are "start+length x factor"; the factors of bursts that overlap multiply.
	BurstText []string `ini:"bursts"`
	// Tokens and Prompt are distributions of lengths in tokens.
	TokenText  string `ini:"tokens" allow:"required"`
	PromptText string `ini:"prompt" default:"fixed(200)"`
	// Shared is the length of the shared prefix in tokens, and Prefixes how many
	// different ones each organisation has.
	Shared   int `ini:"shared" default:"0" allow:"0..1000000"`
	Prefixes int `ini:"prefixes" default:"1" allow:"1..100000"`
	// Organisations are "name:share"; without it all that may use the class
	// take part, by their weights.
	OrganisationText []string `ini:"organisations"`
	// Model is needed when the intent has more than one.
	Model string `ini:"model"`

	Bursts        []Burst       `ini:"-"`
	Tokens        Distribution  `ini:"-"`
	Prompt        Distribution  `ini:"-"`
	Organisations []Participant `ini:"-"`
}

// Burst multiplies the rate of one class for a time.
type Burst struct {
	Start, Length time.Duration
	Factor        float64
}

// Participant is an organisation's share of a class's requests.
type Participant struct {
	Name  string
	Share float64
}

// FaultAt is a section [fault.NAME]: something that happens to engines or to the
// runners of a service.
type FaultAt struct {
	Name string        `ini:"-"`
	At   time.Duration `ini:"at" allow:"0s..24h"`
	// For is after which time the fault ends; zero means never. A crash does
	// not end.
	For time.Duration `ini:"for" default:"0s" allow:"0s..24h"`
	// Service names the plain service whose runners are hit; empty: engines.
	Service string `ini:"service"`
	// Engine is the number of the first engine or runner hit, from 1 on, and
	// Count how many.
	Engine int    `ini:"engine" default:"1" allow:"1..2000"`
	Count  int    `ini:"count" default:"1" allow:"1..2000"`
	Kind   string `ini:"kind" allow:"required"`
	// Value is the straggler's factor, the share of crossed answers, the events
	// after which streams break, or the lag or delay in seconds.
	Value float64 `ini:"value" default:"0" allow:"0..1000000"`
}

// kinds says which faults engines and runners of services know.
var (
	engineKinds  = []string{"straggler", "crash", "silent", "mute", "crossed", "break", "refuse", "report-lag"}
	serviceKinds = []string{"crash", "silent", "mute", "refuse", "drop-answer", "die-before", "delay"}
)

// ApplyService adds the fault to those of a service's runner.
func (a *FaultAt) ApplyService(f *service.Faults) {
	switch a.Kind {
	case "crash":
		f.Crash = true
	case "silent":
		f.Silent = true
	case "mute":
		f.Mute = true
	case "refuse":
		f.Refuse = true
	case "drop-answer":
		f.DropAnswer = true
	case "die-before":
		f.DieBefore = true
	case "delay":
		f.DelayMillis = int64(a.Value * 1000)
	}
}

// Apply adds the fault to those of an engine.
func (a *FaultAt) Apply(f *engine.Faults) {
	switch a.Kind {
	case "straggler":
		f.Straggler = a.Value
	case "crash":
		f.Crash = true
	case "silent":
		f.Silent = true
	case "mute":
		f.Mute = true
	case "crossed":
		f.Crossed = a.Value
	case "break":
		f.BreakAfter = int(a.Value)
	case "refuse":
		f.Refuse = true
	case "report-lag":
		f.ReportLagMillis = int64(a.Value * 1000)
	}
}

// Class returns the class of a section of traffic; the parser made sure that it
// is there.
func (x *Experiment) Class(name string) *intent.Class { return x.Intent.Class(name) }

// Key returns the API key of an organisation.
func (x *Experiment) Key(organisation string) string { return x.Settings.KeyPrefix + organisation }
