package cmds

import (
	"net/http/httptest"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/fake/plat"
	"sassafrasvalve/platform"
)

// marshaler is the value of a stored record.
type marshaler interface {
	MarshalMsg(b []byte) ([]byte, error)
}

// startStore is the script command `store NAME`: it starts a log with the records of a small fleet and sets $NAME to its address.
func startStore(ts *testscript.TestScript, _ bool, args []string) {
	l := plat.NewLog()
	put := func(topic, key string, v marshaler) {
		value, err := v.MarshalMsg(nil)
		ts.Check(err)
		l.Put(topic, key, value)
	}
	l.Put(platform.TopicShards, "lanes", []byte("0"))
	l.Put(platform.TopicShards, "#machines", []byte("1"))
	l.Put(platform.TopicShards, "spoilt", []byte("no number"))
	put(platform.TopicOwners, jobs.ClaimKey(0), &jobs.Claim{Epoch: 3, Owner: "e1#1800000000000", Addr: "10.0.0.1:7000", Reason: "owner gone"})
	put(platform.TopicOwners, jobs.DemandKey(0), &jobs.DemandReport{Epoch: 3, Rev: 9, Want: 4, Min: 2, Offers: []string{"vm-2"}})
	put(platform.TopicOwners, jobs.VacateKey, &jobs.VacateRequest{VMs: []string{"vm-1"}})
	done := jobs.Upkeep{Wave: 1, Machine: "m-1"}.Record(true)
	ordered := jobs.Upkeep{Wave: 1, Machine: "m-2"}.Record(false)
	l.Put(platform.TopicOwners, done.Key, done.Value)
	l.Put(platform.TopicOwners, ordered.Key, ordered.Value)
	l.Put(platform.TopicOperator, "wave/1", []byte(`{"wave":1,"machines":["m-1","m-2","m-3"],"within_s":20,"max_count":2}`))
	l.Put(platform.TopicVMs, "vm-1", []byte(`{"service":"lanes","addr":"10.0.1.1:80","zone":"z1","state":"ready","capacity":{"cpu":64000,"mem_mb":262144},"labels":["a","r1-1"]}`))
	l.Put(platform.TopicVMs, "vm-2", []byte(`{"service":"lanes","addr":"10.0.1.2:80","zone":"z2","state":"draining","capacity":{"cpu":1500,"mem_mb":1024}}`))
	job := &jobs.Job{
		ID: "00000000000000aa", Queue: "holds", Service: "lanes", AcceptedMs: 1_800_000_000_250,
		Steps: []jobs.Step{{Count: 2, CPU: 6200, EstimateMs: 800}},
	}
	put(platform.TopicJobs, jobs.JobKey(job.ID), job)
	put(platform.TopicJobs, jobs.ProgressKey(job.ID), &jobs.Progress{Rev: 2, State: jobs.Running, Items: []jobs.ItemState{
		{Index: 0, Run: 1, Done: true}, {Index: 1, Run: 2, VM: "vm-1", Failed: []int{1}, Ref: "cp-7"},
	}})
	l.Put(platform.TopicJobs, jobs.CancelKey(job.ID), []byte{1})
	s := httptest.NewServer(l.Handler())
	ts.Defer(s.Close)
	ts.Setenv(args[0], strings.TrimPrefix(s.URL, "http://"))
}
