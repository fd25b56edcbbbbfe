package jobs

//go:generate go run github.com/tinylib/msgp@v1.6.5 -file . -o codec_gen.go -tests=false -io=false -unexported=false

import (
	"strconv"
	"strings"
)

// The kinds of key in a shard's partition. The ID of the job follows the letter.
const (
	keyJob      = 'j'
	keyProgress = 'p'
	keyCancel   = 'c'
	keyUpkeep   = 'u'
	// KeyClaim is the key of the ownership record.
	KeyClaim = "h"
)

// Keys of records of which a partition has one each.
const (
	// KeyPost is the key of what a pool's owner tells the keeper.
	KeyPost = "n"
	// KeyVacate is the key of what the keeper asks of the owners.
	KeyVacate = "v"
)

// JobKey returns the key under which a job is stored.
func JobKey(id string) string { return string(keyJob) + id }

// ProgressKey returns the key under which the progress of a job is stored.
func ProgressKey(id string) string { return string(keyProgress) + id }

// CancelKey returns the key under which the cancelling of a job is stored.
func CancelKey(id string) string { return string(keyCancel) + id }

// Upkeep names the upkeep of a machine in a wave.
type Upkeep struct {
	Wave    int
	Machine string
}

// The values of an upkeep's record.
const (
	upkeepOrdered = 0
	upkeepDone    = 1
)

// Record returns the record of an upkeep that is about to be ordered, or that is done.
func (u Upkeep) Record(done bool) Record {
	value := []byte{upkeepOrdered}
	if done {
		value[0] = upkeepDone
	}
	return Record{Key: string(keyUpkeep) + strconv.Itoa(u.Wave) + "/" + u.Machine, Value: value}
}

// parseUpkeep reads what follows the letter of an upkeep's key.
func parseUpkeep(s string) (Upkeep, bool) {
	wave, machine, ok := strings.Cut(s, "/")
	n, err := strconv.Atoi(wave)
	return Upkeep{Wave: n, Machine: machine}, ok && err == nil
}
