package intent

import (
	"fmt"
	"strings"
)

// addedEffects and removedEffects say what an entry of a kind means when it comes or goes.
var (
	addedEffects = map[string]string{
		"class":        "requests may name the class",
		"organisation": "requests with its keys are served",
		"upstream":     "upstreams of this name may announce themselves and get work",
		"model":        "engines may be ordered to hold it",
		"service":      "calls under its prefix are routed",
		"operator":     "requests with its key may view, plan or confirm",
	}
	removedEffects = map[string]string{
		"class":        "requests that name the class are refused",
		"organisation": "requests with its keys are refused",
		"upstream":     "upstreams of this name get no new work, unless another rule matches",
		"model":        "engines are no longer ordered to hold it",
		"service":      "calls under its prefix are refused",
		"operator":     "requests with its key are refused",
	}
	// changedEffects are by kind and field.
	changedEffects = map[string]string{
		"class.tier":                      "its place among the classes changes",
		"class.protected":                 "whether its work may be shed or preempted for others changes",
		"class.floor":                     "the capacity that it always gets changes",
		"class.deadline":                  "requests are given up at another time",
		"class.max_tokens":                "the longest permitted response changes",
		"class.hedge":                     "whether slow requests are started a second time changes",
		"organisation.key_hashes":         "other keys are accepted",
		"organisation.classes":            "other classes may be used",
		"organisation.default_class":      "requests that name no class are treated differently",
		"organisation.weight":             "its share within a class changes",
		"organisation.services":           "other services may be called",
		"organisation.serve_when_cut_off": "whether it is served by a failure domain that is cut off changes",
		"upstream.key_hash":               "announcements need another credential",
		"upstream.kind":                   "its upstreams get another kind of work",
		"upstream.models":                 "its engines may hold other models",
		"upstream.warmup":                 "its engines count as cold for another time after a start",
		"upstream.warmup_per_s":           "its cold engines receive another number of requests",
		"upstream.warmup_overrun":         "its cold engines receive another number of requests",
		"upstream.warmup_slack":           "its cold engines receive another number of requests",
		"model.version":                   "engines are ordered to load another version",
		"model.adapters":                  "engines are ordered to load other adapters",
		"model.replicas":                  "another number of engines is ordered to hold it",
		"service.at_most_once":            "whether its calls may run twice changes",
		"service.require_key":             "whether calls without a key are refused changes",
		"service.timeout":                 "calls are given up at another time",
		"service.retention":               "claims and receipts are kept for another time",
		"operator.read_only":              "whether it may confirm changes",
		"operator.key_hash":               "it needs another key",
	}
)

// Effects says what a change means to callers, upstreams or operators, one sentence for each effect.
// Fields without an entry of their own are described by their values.
func (c *Change) Effects() (list []string) {
	kind, _, _ := strings.Cut(c.Path, ".")
	switch c.Kind {
	case Added:
		return []string{addedEffects[kind]}
	case Removed:
		return []string{removedEffects[kind]}
	}
	for _, f := range c.Fields {
		effect, known := changedEffects[kind+"."+f.Field]
		if !known {
			effect = "the setting changes"
		}
		list = append(list, fmt.Sprintf("%s: %s (%v -> %v)", f.Field, effect, f.From, f.To))
	}
	return list
}
