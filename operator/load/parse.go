package load

import (
	"crypto/sha256"
	"encoding/hex"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/comfreyladder/comfreyladder/instance/inifile"
	"github.com/comfreyladder/comfreyladder/instance/intentfile"
)

// Load reads an experiment and the intent that it names. It returns an
// *inifile.FaultsError that lists every fault at once.
func Load(path string) (*Experiment, error) {
	f, err := inifile.Load(path)
	if err != nil {
		return nil, err
	}
	p := &parser{file: f, x: &Experiment{}}
	p.sections()
	p.intent(filepath.Dir(path))
	p.contents()
	if err := f.Err(); err != nil {
		return nil, err
	}
	p.x.scale()
	p.x.credentials()
	return p.x, nil
}

type parser struct {
	file *inifile.File
	x    *Experiment
}

func (p *parser) sections() {
	x := p.x
	p.file.Decode("experiment", &x.Settings)
	p.file.Decode("engines", &x.Engines)
	for _, name := range p.file.SectionNames("service") {
		r := Runners{Service: name}
		p.file.Decode("service."+name, &r)
		x.Runners = append(x.Runners, r)
	}
	for _, name := range p.file.SectionNames("traffic") {
		t := Traffic{Class: name}
		p.file.Decode("traffic."+name, &t)
		x.Traffic = append(x.Traffic, t)
	}
	for _, name := range p.file.SectionNames("calls") {
		c := Calls{Service: name}
		p.file.Decode("calls."+name, &c)
		x.Calls = append(x.Calls, c)
	}
	for _, name := range p.file.SectionNames("fault") {
		a := FaultAt{Name: name}
		p.file.Decode("fault."+name, &a)
		x.Faults = append(x.Faults, a)
	}
}

func (p *parser) intent(dir string) {
	path := p.x.Settings.Intent
	if path == "" {
		return
	}
	d, err := intentfile.Load(filepath.Join(dir, path))
	if err != nil {
		p.file.AddFault("experiment", "intent", path, err.Error())
		return
	}
	p.x.Intent = d
}

func (p *parser) contents() {
	x := p.x
	for _, s := range x.Settings.Seeds {
		if _, err := strconv.ParseUint(s, 10, 64); err != nil {
			p.file.AddFault("experiment", "seeds", s, "a whole number from 0 on is needed")
		}
	}
	if len(x.Traffic) == 0 {
		p.file.AddFault("traffic", "", "", "at least one section [traffic.CLASS] is needed")
	}
	for i := range x.Traffic {
		p.traffic(&x.Traffic[i])
	}
	for i := range x.Calls {
		p.calls(&x.Calls[i])
	}
	for _, a := range x.Faults {
		p.fault(a)
	}
	if x.Intent != nil && x.Engines.Prefix != "" && x.Intent.UpstreamRule(x.Engines.Prefix+"1") == nil {
		p.file.AddFault("engines", "prefix", x.Engines.Prefix, "no trust rule of the intent covers these names")
	}
}

func (p *parser) fault(a FaultAt) {
	section := "fault." + a.Name
	kinds, count := engineKinds, p.x.Engines.Count
	if a.Service != "" {
		kinds, count = serviceKinds, 0
		for _, r := range p.x.Runners {
			if r.Service == a.Service {
				count = r.Count
			}
		}
	}
	if last := a.Engine + a.Count - 1; last > count {
		p.file.AddFault(section, "engine", strconv.Itoa(last), "the numbers end at "+strconv.Itoa(count))
	}
	if a.Kind != "" && !slices.Contains(kinds, a.Kind) {
		p.file.AddFault(section, "kind", a.Kind, "possible here is one of "+strings.Join(kinds, ", "))
	}
}

func (p *parser) bursts(section string, list []string) []Burst {
	var out []Burst
	for _, text := range list {
		b, ok := parseBurst(text)
		if !ok {
			p.file.AddFault(section, "bursts", text, "a burst is start+length x factor, such as 20s+10s x3")
		}
		out = append(out, b)
	}
	return out
}

func (p *parser) traffic(t *Traffic) {
	section := "traffic." + t.Class
	t.Tokens = p.distribution(section, "tokens", t.TokenText)
	t.Prompt = p.distribution(section, "prompt", t.PromptText)
	t.Bursts = p.bursts(section, t.BurstText)
	if p.x.Intent == nil {
		return
	}
	if p.x.Intent.Class(t.Class) == nil {
		p.file.AddFault(section, "", t.Class, "the intent has no such class")
		return
	}
	p.organisations(section, t)
	p.model(section, t)
}

func (p *parser) model(section string, t *Traffic) {
	models := p.x.Intent.Models
	if t.Model == "" && len(models) == 1 {
		t.Model = models[0].Name
	}
	if p.x.Intent.Model(t.Model) == nil {
		p.file.AddFault(section, "model", t.Model, "a model of the intent is needed")
	}
}

func (p *parser) organisations(section string, t *Traffic) {
	for _, text := range t.OrganisationText {
		name, share, _ := strings.Cut(text, ":")
		s, err := strconv.ParseFloat(share, 64)
		o := p.x.Intent.Organisation(name)
		if err != nil || s <= 0 || o == nil || !slices.Contains(o.Classes, t.Class) {
			p.file.AddFault(section, "organisations", text, "name:share is needed, of an organisation that may use the class")
			continue
		}
		t.Organisations = append(t.Organisations, Participant{Name: name, Share: s})
	}
	if len(t.OrganisationText) > 0 {
		return
	}
	for _, o := range p.x.Intent.Organisations {
		if slices.Contains(o.Classes, t.Class) {
			t.Organisations = append(t.Organisations, Participant{Name: o.Name, Share: o.Weight})
		}
	}
	if len(t.Organisations) == 0 {
		p.file.AddFault(section, "organisations", "", "no organisation of the intent may use the class")
	}
}

func (p *parser) distribution(section, key, text string) Distribution {
	d, ok := parseDistribution(text)
	if !ok && text != "" {
		p.file.AddFault(section, key, text, "one of fixed(n), lognormal(median, sigma), pareto(least, alpha) is needed")
	}
	return d
}

func parseBurst(text string) (Burst, bool) {
	at, factor, ok1 := strings.Cut(text, " x")
	start, length, ok2 := strings.Cut(at, "+")
	s, err1 := time.ParseDuration(strings.TrimSpace(start))
	l, err2 := time.ParseDuration(strings.TrimSpace(length))
	f, err3 := strconv.ParseFloat(strings.TrimSpace(factor), 64)
	ok := ok1 && ok2 && err1 == nil && err2 == nil && err3 == nil && s >= 0 && l > 0 && f > 0
	return Burst{Start: s, Length: l, Factor: f}, ok
}

// scale turns the file's times into those of the clock on the wall.
func (x *Experiment) scale() {
	speed := x.Settings.Speed
	by := func(list ...*time.Duration) {
		for _, d := range list {
			*d = time.Duration(float64(*d) / speed)
		}
	}
	s, e := &x.Settings, &x.Engines
	by(&s.Duration, &s.Drain, &s.Sample, &s.Bin, &e.EventDelay, &e.ReportLag)
	for i := range x.Traffic {
		t := &x.Traffic[i]
		t.Rate *= speed
		for j := range t.Bursts {
			by(&t.Bursts[j].Start, &t.Bursts[j].Length)
		}
	}
	for i := range x.Calls {
		c := &x.Calls[i]
		c.Rate *= speed
		by(&c.Timeout)
		for j := range c.Bursts {
			by(&c.Bursts[j].Start, &c.Bursts[j].Length)
		}
	}
	for i := range x.Faults {
		by(&x.Faults[i].At, &x.Faults[i].For)
		if k := x.Faults[i].Kind; k == "report-lag" || k == "delay" {
			x.Faults[i].Value /= speed
		}
	}
	for i := range x.Intent.Classes {
		c := &x.Intent.Classes[i]
		by(&c.FirstToken, &c.BetweenTokens, &c.Total, &c.Deadline)
	}
}

// credentials replaces the digests of the intent by those of the experiment.
func (x *Experiment) credentials() {
	for i := range x.Intent.Organisations {
		o := &x.Intent.Organisations[i]
		o.KeyHashes = []string{digest(x.Key(o.Name))}
	}
	for i := range x.Intent.Upstreams {
		x.Intent.Upstreams[i].KeyHash = digest(x.Settings.UpstreamKey)
	}
}

func digest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
