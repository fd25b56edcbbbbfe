package jobs

//go:generate go run github.com/tinylib/msgp@v1.6.5 -file . -o codec_gen.go -tests=false -io=false -unexported=false

// The kinds of key in a shard's partition. The ID of the job follows the letter.
const (
	keyJob      = 'j'
	keyProgress = 'p'
	keyCancel   = 'c'
	// KeyClaim is the key of the ownership record.
	KeyClaim = "h"
)

// JobKey returns the key under which a job is stored.
func JobKey(id string) string { return string(keyJob) + id }

// ProgressKey returns the key under which the progress of a job is stored.
func ProgressKey(id string) string { return string(keyProgress) + id }

// CancelKey returns the key under which the cancelling of a job is stored.
func CancelKey(id string) string { return string(keyCancel) + id }
