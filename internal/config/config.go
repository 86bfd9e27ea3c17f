// Package config is the one place where the program's configuration is read, checked and given defaults, at the
// start and again while it runs. It takes GW_CONFIG (the JSON file), and GW_NAME and GW_LISTEN, which win over the
// file's name and listen. Every error names the faulty key, what was found and what is expected. Unknown keys are
// ignored; the settings are read by settingsjson. It must never open anything but that file, nor judge whether the
// settings' figures are wise: that is the module's. It may read beside a loop that must not wait, on the same core: the file
// is read in small steps with a pause after each, and no more of it is held than a step and what comes out of it.
package config

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"time"

	"thymechute/internal/settingsjson"
	"thymechute/policy/settings"
)

// Given is the whole configuration.
type Given struct {
	Name, Listen            string
	Runtime, Catalog, Index string
	Seed                    uint64
	Stop                    time.Duration // from SIGTERM to SIGKILL
	Cores                   float64
	Memory                  int64 // bytes
	Sockets                 int
	Settings                settings.Settings
}

// Fault is what is wrong with one key.
type Fault = settingsjson.Fault

// What is taken where a key is missing.
const (
	defaultSeed    = "1"
	defaultStop    = 3000.0
	defaultCores   = 1.0
	defaultMemory  = 192.0
	defaultSockets = 1024.0
)

// Load reads the configuration by the variables that getenv tells.
func Load(getenv func(string) string) (g Given, err error) {
	path := getenv("GW_CONFIG")
	if path == "" {
		return g, &Fault{Key: "GW_CONFIG", Found: "nothing", Want: "the path of the configuration file"}
	}
	file, err := os.Open(path)
	if err != nil {
		return g, &Fault{Key: "GW_CONFIG", Found: err.Error(), Want: "a file that can be read"}
	}
	defer file.Close()
	d := document{keys: map[string]any{}}
	if err := d.read(json.NewDecoder(bufio.NewReaderSize(pausing{file}, fileBuffer))); err != nil {
		return g, refusal(err, path)
	}
	r := &reader{file: d.keys}
	limits := &reader{at: "limits.", file: r.object("limits")}
	g.Name = r.text("name", getenv("GW_NAME"), "")
	g.Listen = r.address("listen", getenv("GW_LISTEN"))
	g.Runtime, g.Catalog, g.Index = r.address("runtime", ""), r.address("directory", ""), r.address("index", "")
	seed := r.text("seed", "", defaultSeed)
	if g.Seed, err = strconv.ParseUint(seed, 16, 64); err != nil {
		r.fail("seed", strconv.Quote(seed), "up to 16 hex digits")
	}
	g.Stop = time.Duration(r.number("stop_ms", defaultStop, 1, 3.6e6) * float64(time.Millisecond))
	g.Cores = limits.number("cores", defaultCores, 0.01, 1024)
	g.Memory = int64(limits.number("memory_mb", defaultMemory, 16, 1e6) * (1 << 20))
	g.Sockets = int(limits.number("sockets", defaultSockets, 64, 1e6))
	g.Settings = d.settings
	d.check(r)
	if r.err == nil {
		r.err = limits.err
	}
	return g, r.err
}

// Fixed names the keys in which a later configuration differs but that can't change in a running process.
func (g Given) Fixed(later Given) (keys []string) {
	for key, same := range map[string]bool{
		"name": g.Name == later.Name, "listen": g.Listen == later.Listen, "stop_ms": g.Stop == later.Stop,
		"limits": g.Cores == later.Cores && g.Memory == later.Memory && g.Sockets == later.Sockets,
	} {
		if !same {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// reader reads keys and keeps the first fault.
type reader struct {
	at   string
	file map[string]any
	err  error
}

func (r *reader) fail(key, found, want string) {
	if r.err == nil {
		r.err = &Fault{Key: r.at + key, Found: found, Want: want}
	}
}

func show(v any, ok bool) string {
	if !ok || v == nil {
		return "nothing"
	}
	text, _ := json.Marshal(v)
	return fmt.Sprintf("%.60s", text)
}

func (r *reader) object(key string) map[string]any {
	v, ok := r.file[key]
	m, is := v.(map[string]any)
	if !is && ok {
		r.fail(key, show(v, ok), "an object")
	}
	return m
}

func (r *reader) text(key, first, otherwise string) string {
	if first != "" {
		return first
	}
	v, ok := r.file[key]
	s, is := v.(string)
	if !ok && otherwise != "" {
		return otherwise
	}
	if !is || s == "" || len(s) > 200 {
		r.fail(key, show(v, ok), "a text")
	}
	return s
}

func (r *reader) address(key, first string) string {
	s := r.text(key, first, "")
	if a, err := netip.ParseAddrPort(s); s != "" && (err != nil || a.Port() == 0) {
		r.fail(key, strconv.Quote(s), "an IP address and a port")
	}
	return s
}

func (r *reader) number(key string, otherwise, least, most float64) float64 {
	v, ok := r.file[key]
	if !ok {
		return otherwise
	}
	x, is := v.(float64)
	if !is || math.IsNaN(x) || x < least || x > most {
		r.fail(key, show(v, ok), fmt.Sprintf("a number from %g to %g", least, most))
	}
	return x
}
