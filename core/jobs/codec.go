package jobs

//go:generate go run github.com/tinylib/msgp@v1.6.5 -file . -o codec_gen.go -tests=false -io=false -unexported=false

// A length that a record claims is not allocated beyond this: a malformed one must not take the memory of the process. An
// occurrence of a job has at most 10,000 items, and few are open at once; fleets have some thousand VMs.
//msgp:limit arrays:262144 maps:262144

import (
	"fmt"
	"strconv"
	"strings"
)

// The kinds of key in a shard's partition. The ID of the job follows the letter.
const (
	keyJob      = 'j'
	keyProgress = 'p'
	keyCancel   = 'c'
)

// The kinds of key in the owners' partition. The number of the shard follows the first two.
const (
	keyClaim  = 'h'
	keyPost   = 'n'
	keyVacate = 'v'
	keyUpkeep = 'u'
)

// ClaimKey returns the key of the ownership record of a shard.
func ClaimKey(part int) string { return string(keyClaim) + strconv.Itoa(part) }

// DemandKey returns the key of what the owner of a shard tells the machine controller.
func DemandKey(part int) string { return string(keyPost) + strconv.Itoa(part) }

// VacateKey is the key of what the machine controller asks of the owners.
const VacateKey = "vacate"

// parsePart reads the number of a shard.
func parsePart(s string) (int, error) {
	n, err := strconv.Atoi(s)
	if err != nil || n < 0 {
		return 0, fmt.Errorf("%q is not the number of a shard", s)
	}
	return n, nil
}

// JobKey returns the key under which a job is stored.
func JobKey(id string) string { return string(keyJob) + id }

// SubmittedID returns the ID of the job whose record has a key, and false for any other key.
func SubmittedID(key string) (string, bool) {
	return strings.CutPrefix(key, string(keyJob))
}

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
