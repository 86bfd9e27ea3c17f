//go:build review

package standin

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Instance is one process of the service instance, started with the command "run" of the deploy file.
type Instance struct {
	Listen  string
	folder  string
	command *exec.Cmd
	log     *os.File
	exited  chan struct{}
}

// Config is the configuration file of an instance.
type Config map[string]any

// FreeAddress returns a loopback address on which nothing listens.
func FreeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// StartInstance writes the configuration into a temporary folder and starts the program from the project's root.
func StartInstance(root string, config Config, arguments string) (*Instance, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	i := &Instance{folder: folder, Listen: config["listen"].(string), exited: make(chan struct{})}
	if err := i.WriteConfig(config); err != nil {
		return nil, err
	}
	i.log, err = os.Create(filepath.Join(folder, "log"))
	if err != nil {
		return nil, err
	}
	i.command = exec.Command("/bin/sh", "-c", "exec bin/thymechute"+arguments)
	i.command.Dir = root
	i.command.Env = append(os.Environ(), "GW_CONFIG="+filepath.Join(folder, "config.json"), "GW_LISTEN="+i.Listen, "TMPDIR="+folder)
	i.command.Stdout = i.log
	i.command.Stderr = i.log
	if err := i.command.Start(); err != nil {
		return nil, err
	}
	stopOnSignal(i)
	go func() { _ = i.command.Wait(); close(i.exited) }()
	return i, nil
}

// stopOnSignal kills the instance if this program is told to end, so that no process is left.
func stopOnSignal(i *Instance) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		_ = i.command.Process.Kill()
		<-i.exited
		os.RemoveAll(i.folder)
		os.Exit(2)
	}()
}

// WriteConfig replaces the configuration file.
func (i *Instance) WriteConfig(config Config) error {
	text, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		return err
	}
	path := filepath.Join(i.folder, "config.json")
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// Signal sends a signal to the process.
func (i *Instance) Signal(signal os.Signal) error { return i.command.Process.Signal(signal) }

// HasExited reports whether the process has ended.
func (i *Instance) HasExited() bool {
	select {
	case <-i.exited:
		return true
	default:
		return false
	}
}

// Log returns what the process has written so far.
func (i *Instance) Log() string {
	text, _ := os.ReadFile(filepath.Join(i.folder, "log"))
	return string(text)
}

// Stop kills the process and removes its folder.
func (i *Instance) Stop() {
	_ = i.command.Process.Kill()
	<-i.exited
	i.log.Close()
	os.RemoveAll(i.folder)
}

// WaitReady waits until a health check is answered with "serving":true.
func (i *Instance) WaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if i.isServing() {
			return nil
		}
	}
	return errors.New("the instance does not serve: " + i.Log())
}

func (i *Instance) isServing() bool {
	c, err := net.DialTimeout("tcp", i.Listen, time.Second)
	if err != nil {
		return false
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprintln(c, `{"jsonrpc":"2.0","id":1,"method":"check"}`)
	line, _ := bufio.NewReader(c).ReadBytes('\n')
	var answer struct{ Result struct{ Serving bool } }
	return json.Unmarshal(line, &answer) == nil && answer.Result.Serving
}
