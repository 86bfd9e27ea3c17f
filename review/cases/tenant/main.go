//go:build review

// Command tenant shows what happens to the requests of three tenants when a new configuration no longer has the fourth.
//
// Exit code: 0 the rule held, 1 it was broken, 2 the case couldn't run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"thymechute/review/standin"
)

const (
	trafficTime = 20 * time.Second
	reloadAt    = 5 * time.Second
	pause       = 60 * time.Millisecond // between two requests: 16 a second
	runTime     = 300 * time.Millisecond
	crossing    = 50 * time.Millisecond // a request that crosses a close within this time is sent again by its client stub
	removed     = "toros-meyve"
)

// tenants has the tenants in about their shares: 32, 27, 23 and 18 percent.
var tenants = strings.Fields("marmara-gida ege-sut kuzey-ilac marmara-gida ege-sut toros-meyve marmara-gida kuzey-ilac ege-sut marmara-gida toros-meyve")

type sent struct {
	conn *standin.Conn
	try  *standin.Try
}

func main() {
	code, err := run(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case couldn't run:", err)
		code = 2
	}
	os.Exit(code)
}

func run(root, folder string, trouble bool) (int, error) {
	record, err := standin.NewRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return 2, err
	}
	defer record.Close()
	runtime, err := standin.StartRuntime(record, func(string, []byte) time.Duration { return runTime })
	if err != nil {
		return 2, err
	}
	defer runtime.Close()
	config, err := standin.NewConfig(runtime.Address, standin.Settings())
	if err != nil {
		return 2, err
	}
	instance, err := standin.StartInstance(root, config, "")
	if err != nil {
		return 2, err
	}
	defer instance.Stop()
	if err := instance.WaitReady(10 * time.Second); err != nil {
		return 2, err
	}
	var all []sent
	var conn *standin.Conn
	start := time.Now()
	reloaded := false
	for number := 0; time.Since(start) < trafficTime; number++ {
		if trouble && !reloaded && time.Since(start) >= reloadAt {
			reloaded = true
			if err := reload(instance, config, record); err != nil {
				return 2, err
			}
		}
		if conn == nil || !conn.TakesRequests() {
			conn, err = standin.Dial(instance.Listen, fmt.Sprintf("stub connection %d", number), 1, record)
			if err != nil {
				return 2, err
			}
		}
		tenant := tenants[number%len(tenants)]
		if try := conn.Send(standin.Request{Class: "trace", Tenant: tenant, Body: fmt.Sprintf("%s %d", tenant, number)}); try != nil {
			all = append(all, sent{conn, try})
		}
		time.Sleep(pause)
	}
	time.Sleep(7 * time.Second) // beyond the deadline of 5.7 s and the slack
	if instance.HasExited() {
		return 2, fmt.Errorf("the program has ended: %s", instance.Log())
	}
	record.Printf("log of the program:\n%s", instance.Log())
	return judge(all, record), nil
}

func reload(instance *standin.Instance, config standin.Config, record *standin.Record) error {
	settings := standin.Settings()
	settings["tenants"] = settings["tenants"].([]any)[:3]
	config["settings"] = settings
	if err := instance.WriteConfig(config); err != nil {
		return err
	}
	record.Printf("new configuration without the tenant %s, SIGHUP", removed)
	return instance.Signal(syscall.SIGHUP)
}

// judge counts the requests of the tenants that both configurations have, and that ended with the connection instead of an answer.
func judge(all []sent, record *standin.Record) int {
	counts := map[standin.Status]int{}
	lost := 0
	for _, s := range all {
		try := s.conn.State(s.try)
		if try.Tenant == removed {
			continue
		}
		counts[try.Status]++
		switch try.Status {
		case standin.Open:
			lost++
		case standin.Lost:
			if try.EndedAt.Sub(try.WrittenAt) > crossing {
				lost++
				record.Printf("LOST: rid %s of %s, written %v before the connection ended", try.RID, try.Tenant,
					try.EndedAt.Sub(try.WrittenAt).Round(time.Millisecond))
			}
		}
	}
	text := fmt.Sprintf("requests of the three remaining tenants: %v; without an answer, crossing closes left out: %d", counts, lost)
	record.Printf("%s", text)
	fmt.Println(text)
	if lost > 0 {
		return 1
	}
	return 0
}
