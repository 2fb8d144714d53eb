// Package configcheck finds what a decoded configuration of the store says in vain or in
// contradiction, and compares two of them. It runs in the operator's command only.
package configcheck

import (
	"net/netip"
	"time"

	"github.com/heathergw/heathergw/internal/catalog"
	"github.com/heathergw/heathergw/internal/document"
)

// Configuration is a decoded configuration with the paths of its fields.
type Configuration struct {
	Document *document.Document
	// Partial is set if some routes or services could not be decoded; what is missing
	// here may then be in the document.
	Partial bool

	Version     uint64
	IdleTimeout time.Duration
	Routes      []Route
	Services    []Service

	VersionPath, IdleTimeoutPath string
}

// Route is a decoded route.
type Route struct {
	catalog.Route
	// HasPriority is set if the document gives the priority.
	HasPriority bool
	// Attempts is how often a client tries a request; 0 means unknown.
	Attempts int

	Path, PriorityPath, TimeoutPath, AttemptsPath, ServicesPath string
}

// Service is a decoded service.
type Service struct {
	catalog.ServiceSettings
	Path string
}

// Check returns the findings on a configuration. All are warnings, because the processes
// accept what it finds.
func Check(c *Configuration) document.Findings {
	r := &document.Report{Document: c.Document}
	checkDestinations(r, c)
	for i := range c.Routes {
		checkRoute(r, &c.Routes[i])
	}
	checkIdleTimeout(r, c)
	checkServices(r, c)
	if !c.Partial {
		checkPriorities(r, c)
	}
	return r.Findings
}

// checkDestinations reports routes that never match: of several routes with one
// destination the last one is in force, see catalog.View.
func checkDestinations(r *document.Report, c *Configuration) {
	last := map[netip.AddrPort]*Route{}
	for i := range c.Routes {
		last[c.Routes[i].Destination] = &c.Routes[i]
	}
	for i := range c.Routes {
		if route := &c.Routes[i]; last[route.Destination] != route {
			r.Warnf(route.Path, "the route never matches: %s has the same address and port, %s, and the later route is in force",
				last[route.Destination].Path, route.Destination)
		}
	}
}

func checkRoute(r *document.Report, route *Route) {
	total := 0
	for _, s := range route.Services {
		total += s.Weight
	}
	if total == 0 {
		r.Warnf(route.ServicesPath, "all weights are 0, so that all new flows go to the first service, %q", route.Services[0].Service)
	}
	if route.Timeout > 0 && route.Timeout < route.TargetLatency {
		r.Warnf(route.TimeoutPath, "the time-out, %s, is below the target latency, %s", route.Timeout, route.TargetLatency)
	}
	if route.Attempts > 1 && route.Timeout == 0 {
		r.Warnf(route.AttemptsPath, "%d attempts have no time-out", route.Attempts)
	}
}

// checkIdleTimeout reports an idle limit that ends flows whose response is still awaited.
func checkIdleTimeout(r *document.Report, c *Configuration) {
	var longest *Route
	for i := range c.Routes {
		if longest == nil || c.Routes[i].Timeout > longest.Timeout {
			longest = &c.Routes[i]
		}
	}
	if longest != nil && c.IdleTimeout > 0 && c.IdleTimeout < longest.Timeout {
		r.Warnf(c.IdleTimeoutPath, "the idle limit, %s, is below the time-out of %s, %s", c.IdleTimeout, longest.Path, longest.Timeout)
	}
}

// checkServices reports services that no route uses, that are listed twice, or that a
// route uses without being listed.
func checkServices(r *document.Report, c *Configuration) {
	used, listed := map[string]bool{}, map[string]*Service{}
	for i := range c.Services {
		listed[c.Services[i].Name] = &c.Services[i]
	}
	for _, route := range c.Routes {
		for _, s := range route.Services {
			if listed[s.Service] == nil && !used[s.Service] && !c.Partial {
				r.Warnf(route.ServicesPath, "service %q is not listed, so that it has no settings", s.Service)
			}
			used[s.Service] = true
		}
	}
	for i := range c.Services {
		s := &c.Services[i]
		switch {
		case listed[s.Name] != s:
			r.Warnf(s.Path, "service %q is listed again as %s, whose settings are in force", s.Name, listed[s.Name].Path)
		case !used[s.Name] && !c.Partial:
			r.Warnf(s.Path, "no route uses service %q", s.Name)
		}
	}
}

// checkPriorities reports a priority that orders nothing, because all routes have it.
func checkPriorities(r *document.Report, c *Configuration) {
	var first *Route
	for i := range c.Routes {
		route := &c.Routes[i]
		if route.Priority != c.Routes[0].Priority {
			return
		}
		if first == nil && route.HasPriority {
			first = route
		}
	}
	if first != nil {
		r.Warnf(first.PriorityPath, "all routes have priority %d, so that there is no class below it", first.Priority)
	}
}

// CheckVersion reports a change whose version is not above the current one. After the
// store comes back from an older copy, the processes take the configuration with the
// higher version for the newer one.
func CheckVersion(current, c *Configuration) document.Findings {
	r := &document.Report{Document: c.Document}
	if c.Version <= current.Version && len(Compare(current, c)) > 0 {
		r.Warnf(c.VersionPath, "version %d is not above the current one, %d", c.Version, current.Version)
	}
	return r.Findings
}
