// Package demo runs fakes of the platform and of workers and three entries inside one process.
// It shows a request, a drain, a graceful stop and a job.
package demo

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"sassafrasvalve/core/fleet"
	"sassafrasvalve/core/spec"
	"sassafrasvalve/fake/cloud"
	"sassafrasvalve/fake/worker"
	"sassafrasvalve/io/admin"
	"sassafrasvalve/io/config"
	"sassafrasvalve/io/daemon"
)

const (
	entryCount   = 3
	stepTimeout  = 30 * time.Second
	pollInterval = 100 * time.Millisecond
	operator     = "demo"
	region       = "local"
)

// Demo is a small fleet with all servers on loopback addresses.
type Demo struct {
	out      io.Writer
	platform string // base URL
	cloud    *cloud.Server
	workers  []*worker.Server
	settings []config.Settings
	stops    []context.CancelFunc // of the running entries
	ended    chan error           // results of the entries' Run
	client   *admin.Client
}

// Run runs all steps of the demo and writes their progress to out. It returns an error if a step fails.
func Run(ctx context.Context, out io.Writer) error {
	d := &Demo{out: out, ended: make(chan error, entryCount)}
	defer d.close()
	for _, step := range []func(context.Context) error{
		d.startPlatform, d.startEntries, d.applyConfig, d.sendRequest, d.drain, d.stopEntry, d.runJob,
	} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	d.printf("done")
	return nil
}

func (d *Demo) printf(format string, args ...any) { _, _ = fmt.Fprintf(d.out, format+"\n", args...) }

func (d *Demo) close() {
	for _, stop := range d.stops {
		stop()
	}
	for range d.stops {
		if err := <-d.ended; err != nil {
			d.printf("an entry ended with an error: %v", err)
		}
	}
	for _, w := range d.workers {
		w.Close()
	}
}

// pools are the pools of the fleet configuration.
var pools = []spec.Pool{{Name: "lanes", Size: 3}, {Name: "admin", Size: 1, Spare: true}}

func (d *Demo) startPlatform(ctx context.Context) error {
	var vms []cloud.VM
	for _, p := range pools {
		for i := range p.Size {
			name := fmt.Sprintf("%s-%d", p.Name, i+1)
			w, err := worker.Start(worker.Config{Name: name})
			if err != nil {
				return err
			}
			d.workers = append(d.workers, w)
			vms = append(vms, cloud.VM{
				ID: name, Addr: w.Addr(), Region: region, State: cloud.StateLive,
				DC: fmt.Sprintf("dc-%d", i+1), Rack: fmt.Sprintf("%s-rack", p.Name),
			})
		}
	}
	ln, err := listen(ctx)
	if err != nil {
		return err
	}
	d.platform = "http://" + ln.Addr().String()
	d.cloud = cloud.New(cloud.Config{Seed: 1, VMs: vms, RebootTime: time.Second})
	go func() { _ = d.cloud.Run(ctx, ln) }()
	d.printf("platform stand-in at %s with %d VMs", d.platform, len(vms))
	return nil
}

func listen(ctx context.Context) (net.Listener, error) {
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", "127.0.0.1:0")
	return ln, eris.Wrap(err, "listen on a loopback address")
}

// freeAddr returns a loopback address with a port that is free now.
func freeAddr(ctx context.Context) (string, error) {
	ln, err := listen(ctx)
	if err != nil {
		return "", err
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().String(), nil
}

func (d *Demo) startEntries(ctx context.Context) error {
	var peers []string
	for range entryCount {
		addr, err := freeAddr(ctx)
		if err != nil {
			return err
		}
		peers = append(peers, addr)
	}
	var admins []string
	for i := range entryCount {
		s, err := d.entrySettings(ctx, i, peers)
		if err != nil {
			return err
		}
		d.settings = append(d.settings, s)
		admins = append(admins, "http://"+s.Admin)
		e, err := daemon.New(daemon.Config{Settings: s, Log: zap.NewNop()})
		if err != nil {
			return err
		}
		run, stop := context.WithCancel(ctx)
		d.stops = append(d.stops, stop)
		go func() { d.ended <- e.Run(run) }()
		d.printf("entry %s: callers %s, operators http://%s", s.VM, s.Listen, s.Admin)
	}
	d.client = admin.NewClient(admin.ClientConfig{Entries: admins})
	return nil
}

func (d *Demo) entrySettings(ctx context.Context, i int, peers []string) (config.Settings, error) {
	s := config.DefaultSettings()
	s.VM, s.Region, s.DC = fmt.Sprintf("entry-%d", i+1), region, fmt.Sprintf("dc-%d", i+1)
	s.Peer, s.Peers, s.Platform = peers[i], peers, d.platform
	s.BalancerWait = spec.Duration(200 * time.Millisecond)
	var err error
	if s.Listen, err = freeAddr(ctx); err != nil {
		return s, err
	}
	s.Admin, err = freeAddr(ctx)
	return s, err
}

func (d *Demo) applyConfig(ctx context.Context) error {
	f := spec.Fleet{
		Pools:    pools,
		Services: []spec.Service{{Name: "lane-holds", Pool: "lanes", Budget: spec.Budget{MinAvailable: 2}}},
		Classes:  []spec.Class{{Name: "holds", Rank: 0, Share: 0.5, MaxWait: spec.Duration(2500 * time.Millisecond)}},
		Tenants:  []spec.Tenant{{Name: "clubs"}},
	}
	var last admin.Decision
	return d.until(ctx, "the configuration is accepted", func() error {
		if last.Outcome == admin.Accepted {
			return d.checkPoolFilled(ctx)
		}
		dec, err := d.client.Apply(ctx, admin.ApplyRequest{ID: uuid.NewString(), Fleet: f, Writer: operator})
		if err != nil {
			return err
		}
		last = dec
		if dec.Outcome != admin.Accepted {
			return eris.Errorf("%s: %s", dec.Outcome, dec.Reason)
		}
		d.printf("configuration version %d accepted at offset %d", dec.Version, dec.Offset)
		return d.checkPoolFilled(ctx)
	})
}

// checkPoolFilled returns an error unless the pool lanes has its full size of active VMs.
func (d *Demo) checkPoolFilled(ctx context.Context) error {
	list, err := d.client.VMs(ctx)
	if err != nil {
		return err
	}
	n := 0
	for _, vm := range list.VMs {
		if vm.Pool == "lanes" && vm.Phase == fleet.Active {
			n++
		}
	}
	if n < pools[0].Size {
		return eris.Errorf("pool lanes has %d of %d active VMs", n, pools[0].Size)
	}
	d.printf("pool lanes has %d active VMs", n)
	return nil
}

func (d *Demo) sendRequest(ctx context.Context) error {
	return d.until(ctx, "a request is served", func() error {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.settings[0].Listen+"/lanes/3", http.NoBody)
		if err != nil {
			return err
		}
		req.Header.Set("Sassafrasvalve-Service", "lane-holds")
		req.Header.Set("Sassafrasvalve-Class", "holds")
		req.Header.Set("Sassafrasvalve-Tenant", "clubs")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return err
		}
		defer func() { _ = resp.Body.Close() }()
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			return err
		}
		if resp.StatusCode != http.StatusOK {
			return eris.Errorf("%s: %s", resp.Status, body)
		}
		d.printf("GET /lanes/3 through entry-1: %s, verdict %s", resp.Status, resp.Header.Get("Sassafrasvalve-Verdict"))
		return nil
	})
}

func (d *Demo) drain(ctx context.Context) error {
	const vm = "lanes-1"
	dec, err := d.client.Drain(ctx, vm, admin.VMRequest{ID: uuid.NewString(), Reboot: true, Writer: operator, Reason: "shown by the demo"})
	if err != nil {
		return err
	}
	if dec.Outcome != admin.Accepted {
		return eris.Errorf("drain of %s: %s %s", vm, dec.Outcome, dec.Reason)
	}
	d.printf("drain of %s accepted at offset %d", vm, dec.Offset)
	return d.until(ctx, "the VM is back", func() error {
		detail, err := d.client.VM(ctx, vm)
		if err != nil {
			return err
		}
		if detail.VM.Phase != fleet.Active {
			return eris.Errorf("VM %s is %s", vm, detail.VM.Phase)
		}
		for _, s := range detail.VM.History {
			d.printf("  offset %d: %s -> %s %s %s", s.Offset, s.From, s.Phase, s.Rule, s.Reason)
		}
		return nil
	})
}

func (d *Demo) stopEntry(context.Context) error {
	start := time.Now()
	d.stops[0]()
	err := <-d.ended
	d.stops = d.stops[1:]
	d.printf("entry-1 stopped gracefully in %s", time.Since(start).Round(10*time.Millisecond))
	return err
}

// until repeats a step until it succeeds or stepTimeout has passed.
func (d *Demo) until(ctx context.Context, what string, step func() error) error {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	for {
		err := step()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return eris.Wrapf(err, "gave up waiting until %s", what)
		case <-time.After(pollInterval):
		}
	}
}

// Main calls Run with out, or with standard output if out is nil.
func Main(ctx context.Context, out io.Writer) error {
	if out == nil {
		out = os.Stdout
	}
	return Run(ctx, out)
}
