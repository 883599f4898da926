package durable

import (
	"bytes"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/store"
	"chicorytray.example/chicorytray/wire"
)

func sample(id string) Record {
	return Record{
		Identifier: id, Account: "a<b>", Template: "t", Count: 3, Needs: wire.Resources{MilliCPU: 2000, MemoryMB: 64},
		Spec: `{"x":1}`, Expected: time.Second, Accepted: time.UnixMilli(1_700_000_000_123),
	}
}

func sampleEnd(id string) EndRecord {
	r := sample(id)
	return EndRecord{
		Identifier: id, Account: r.Account, Template: r.Template, Workload: r.WorkloadHash(), State: Completed,
		Ended: time.UnixMilli(1_700_000_001_000),
	}
}

// Guards against a record that is decoded differently from the stored one, for
// example with tags or serials above 2^53.
func TestRoundTrip(t *testing.T) {
	c := qt.New(t)
	r := sample("j")
	r.Owner, r.Serial, r.Started, r.Restarted = "e-1f-2", 1<<63+1, true, true
	r.Done = []TaskRun{{2, 1<<64 - 1}, {0, 7}}
	r.Failed = []TaskRun{{1, 8}, {1, 9}}
	r.Crashes = []TaskCrashes{{0, 3, 1, 2}, {2, 255, 0, 0}}
	value, err := r.Encode()
	c.Assert(err, qt.IsNil)
	got, err := DecodeRecord(OpenPrefix+"j", value)
	c.Assert(err, qt.IsNil)
	c.Check(got, qt.DeepEquals, r)
	e := sampleEnd("j")
	value, err = e.Encode()
	c.Assert(err, qt.IsNil)
	end, err := DecodeEnd(EndedPrefix+"j", value)
	c.Assert(err, qt.IsNil)
	c.Check(end, qt.DeepEquals, e)
}

// Guards against damaged records, and records of other versions, that are decoded
// without an error.
func TestUnreadable(t *testing.T) {
	c := qt.New(t)
	r, e := sample("j"), sampleEnd("j")
	value, _ := r.Encode()
	end, _ := e.Encode()
	for _, replace := range [][2]string{
		{`"v":1`, `"v":2`},
		{`"v":1`, `"v":1,"new":true`},
		{`"v":1`, `"v":1,"v":1`},
		{`"v":1`, `"V":1`},
		{`"id":"j"`, `"id":"k"`},
		{`"id":"j"`, `"id":null`},
		{`{`, ` {`},
		{`}`, `}}`},
		{`}`, ``},
		{`"count":3`, `"count":0`},
		{`"count":3`, `"count":1e999`},
		{`"count":3`, `"count":99999999999999999999`},
		{`"count":3`, `"count":` + strings.Repeat("[", 500_000)},
		{`"count":3`, `"count":3,"more":` + strings.Repeat("[", 9_000) + strings.Repeat("]", 9_000)},
		{`"accelerators":0`, `"accelerators":-1`},
		{`"memory_mb":64`, `"memory_mb":-64`},
		{`"accepted_ms":`, `"accepted_ms":1e30,"x":`},
		{`"serial":"0"`, `"serial":"00"`},
		{`"serial":"0"`, `"serial":"0","done":["3:1"]`},
		{`"serial":"0"`, `"serial":"0","done":["1:1","1:2"]`},
		{`"serial":"0"`, `"serial":"0","crashes":["3:1:0:0"]`},
		{`"serial":"0"`, `"serial":"0","crashes":["1:2:2:1"]`},
		{`"serial":"0"`, `"serial":"0","crashes":["1:1:0:0","1:1:0:0"]`},
		{`"serial":"0"`, `"serial":"0","crashes":["1:1:0"]`},
		{`"serial":"0"`, `"serial":"0","crashes":["1:256:0:0"]`},
		{`"state":"completed"`, `"state":"queued"`},
	} {
		for _, original := range [][]byte{value, end} {
			damaged := bytes.Replace(original, []byte(replace[0]), []byte(replace[1]), 1)
			if bytes.Equal(damaged, original) {
				continue
			}
			_, errOpen := DecodeRecord(OpenPrefix+"j", damaged)
			_, errEnd := DecodeEnd(EndedPrefix+"j", damaged)
			c.Check(errOpen, qt.ErrorIs, ErrUnreadable, qt.Commentf("%s", damaged))
			c.Check(errEnd, qt.ErrorIs, ErrUnreadable, qt.Commentf("%s", damaged))
		}
	}
}

// Guards against an accepted job whose record later exceeds the size limit of the
// store, and against records that cannot be decoded again.
func TestSizeLimits(t *testing.T) {
	c := qt.New(t)
	r := sample("j")
	r.Spec = strings.Repeat("x", store.MaxValueBytes-1000)
	c.Check(r.checkRoom(), qt.IsNil)
	r.Count = 100
	c.Check(r.checkRoom(), qt.ErrorIs, store.ErrTooLarge)
	r.Spec += strings.Repeat("x", 1000)
	_, err := r.Encode()
	c.Check(err, qt.ErrorIs, store.ErrTooLarge)
	r.Spec = "\xff"
	_, err = r.Encode()
	c.Check(err, qt.ErrorIs, errInvalid)

	r = sample("j")
	r.Count = 10_000
	c.Assert(r.checkRoom(), qt.IsNil)
	empty, _ := r.Encode()
	for i := range r.Count {
		r.Done = append(r.Done, TaskRun{i, 1<<64 - 1})
		r.Crashes = append(r.Crashes, TaskCrashes{i, 255, 128, 127})
	}
	full, err := r.Encode()
	c.Assert(err, qt.IsNil)
	c.Check(len(full)-len(empty) <= r.Count*(maxRunBytes+maxCrashBytes), qt.IsTrue)
}

// Guards against different work under one identifier that counts as the same,
// and against the same work that counts as different.
func TestWorkload(t *testing.T) {
	c := qt.New(t)
	r := sample("j")
	first := r.WorkloadHash()
	r.Owner, r.Serial, r.Started, r.Accepted, r.Expected = "e", 7, true, time.Time{}, 0
	c.Check(r.WorkloadHash(), qt.Equals, first)
	for _, change := range []func(*Record){
		func(r *Record) { r.Account += "x" },
		func(r *Record) { r.Account, r.Template = "a", "<b>t" },
		func(r *Record) { r.Count++ },
		func(r *Record) { r.Needs.MemoryMB++ },
		func(r *Record) { r.Spec = "" },
	} {
		other := sample("j")
		change(&other)
		c.Check(other.WorkloadHash(), qt.Not(qt.Equals), first)
	}
}

// Guards against a value that is decoded although Encode would write it
// differently, so that a rewrite would lose a part of it.
func FuzzDecode(f *testing.F) {
	r, e := sample("j"), sampleEnd("j")
	r.Done = []TaskRun{{1, 2}}
	value, _ := r.Encode()
	end, _ := e.Encode()
	for _, seed := range [][]byte{value, end, nil, []byte("{}"), []byte(`{"v":1}`), []byte("null"),
		bytes.Repeat([]byte("["), 20_000), []byte(`{"done":` + strings.Repeat("[", 20_000)), []byte(`{"count":1e999,"serial":"ffffffffffffffffffff"}`)} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		if r, err := DecodeRecord(OpenPrefix+"j", value); err == nil {
			if again, err := r.Encode(); err != nil || !bytes.Equal(again, value) {
				t.Fatalf("%q is written as %q (%v)", value, again, err)
			}
		}
		if e, err := DecodeEnd(EndedPrefix+"j", value); err == nil {
			if again, err := e.Encode(); err != nil || !bytes.Equal(again, value) {
				t.Fatalf("%q is written as %q (%v)", value, again, err)
			}
		}
	})
}
