package jobs

//go:generate go run github.com/tinylib/msgp@v1.6.5 -file . -o codec_gen.go -tests=false -io=false -unexported=false

// The decoder allocates arrays and maps up to these lengths only, so that a malformed length cannot exhaust the memory of
// the process. An occurrence of a job has at most 10,000 items, of which few are open at once, and a fleet has some
// thousand VMs.
//msgp:limit arrays:262144 maps:262144
//msgp:ignore Amount KeyDigest Account Accounts Access Catalog Queue QueueID Pool

import (
	"fmt"
	"strconv"
	"strings"
)

// Key prefixes in a shard's partition. The job ID follows the prefix, and the number of the part follows that of keyPart.
const (
	keyJob      = 'j'
	keyProgress = 'p'
	keyPart     = 'q'
	keyCancel   = 'c'
	keyExclude  = 'x'
)

// Key prefixes in the owners' partition. The shard number follows keyClaim, keyDemand, keyRoute and keyName.
const (
	keyClaim  = 'h'
	keyDemand = 'n'
	keyVacate = 'v'
	keyUpkeep = 'u'
	keyRoute  = 'r'
	keyName   = 'w'
)

// ClaimKey returns the key of the claim of a shard.
func ClaimKey(shard int) string { return string(keyClaim) + strconv.Itoa(shard) }

// DemandKey returns the key of the demand report of a shard's owner.
func DemandKey(shard int) string { return string(keyDemand) + strconv.Itoa(shard) }

// VacateKey is the key of the machine controller's VacateRequest.
const VacateKey = "vacate"

// parseShard parses the shard number in a key.
func parseShard(s string) (int, error) {
	n, err := strconv.Atoi(s)
	if err != nil || n < 0 {
		return 0, fmt.Errorf("invalid shard number %q", s)
	}
	return n, nil
}

// JobKey returns the key of a job record.
func JobKey(id string) string { return string(keyJob) + id }

// ParseJobKey returns the job ID in the key of a job record. It returns false for keys of other records.
func ParseJobKey(key string) (string, bool) {
	return strings.CutPrefix(key, string(keyJob))
}

// ProgressKey returns the key of the progress record of a job.
func ProgressKey(id string) string { return string(keyProgress) + id }

// PartKey returns the key of a part record of a job, whose number is above 0.
func PartKey(id string, part int) string { return string(keyPart) + id + "/" + strconv.Itoa(part) }

// parsePart parses the key of a part record without its prefix.
func parsePart(s string) (id string, part int, err error) {
	id, number, _ := strings.Cut(s, "/")
	if part, err = strconv.Atoi(number); err != nil || part < 1 {
		return "", 0, fmt.Errorf("invalid part %q of the progress of a job", s)
	}
	return id, part, nil
}

// ExcludeRecord returns the record by which a shard refuses a job unless it has the job already. It is stored before the job
// is stored in another shard.
func ExcludeRecord(id string) Record { return Record{Key: ExcludeKey(id), Value: []byte{1}} }

// ExcludeKey returns the key of the exclusion of a job.
func ExcludeKey(id string) string { return string(keyExclude) + id }

// maxRouteBytes bounds the part of a route or of a queue's name that is in a key, which has at most 255 bytes. Routes and names that
// differ only after that count as one.
const maxRouteBytes = 200

// cutRoute returns the part of a route or of a queue's name that is in a key.
func cutRoute(s string) string { return s[:min(len(s), maxRouteBytes)] }

// RouteRecord returns the record that jobs of a route may be stored in a shard.
func RouteRecord(route string, shard int) Record {
	return Record{Key: string(keyRoute) + strconv.Itoa(shard) + "/" + cutRoute(route), Value: []byte{1}}
}

// NameRecord returns the record that jobs of the queue with a name may be stored in a shard.
func NameRecord(name string, shard int) Record {
	return Record{Key: string(keyName) + strconv.Itoa(shard) + "/" + cutRoute(name), Value: []byte{1}}
}

// CancelRecord returns the record that cancels a job of a client account, or of any if the account is empty. A job of another account
// is not cancelled: an entry that stores the record may not know whose job it is.
func CancelRecord(id, account string) Record {
	return Record{Key: CancelKey(id), Value: append([]byte{1}, account...)}
}

// CancelKey returns the key of the cancel record of a job.
func CancelKey(id string) string { return string(keyCancel) + id }

// Upkeep identifies the upkeep of a machine in a wave.
type Upkeep struct {
	Wave    int
	Machine string
}

// Values of an upkeep record.
const (
	upkeepOrdered = 0
	upkeepDone    = 1
)

// Record returns the record that marks the upkeep as done, or as about to be ordered.
func (u Upkeep) Record(done bool) Record {
	value := []byte{upkeepOrdered}
	if done {
		value[0] = upkeepDone
	}
	return Record{Key: string(keyUpkeep) + strconv.Itoa(u.Wave) + "/" + u.Machine, Value: value}
}

// parseUpkeep parses an upkeep key without its prefix: the wave and the machine, separated by a slash.
func parseUpkeep(s string) (Upkeep, bool) {
	wave, machine, ok := strings.Cut(s, "/")
	n, err := strconv.Atoi(wave)
	return Upkeep{Wave: n, Machine: machine}, ok && err == nil
}
