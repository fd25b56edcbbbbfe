package claims

import (
	"encoding/json"
	"math/rand/v2"
	"testing"

	"sassafrasvalve/core/dedup"
)

// Guards against a message of a peer that crashes this entry or makes it grant a claim to an executor that is not a member.
func FuzzHandle(f *testing.F) {
	key := `"00112233445566778899aabbccddeeff"`
	f.Add(byte(0), `{"Key":`+key+`,"Fingerprint":`+key+`,"Executor":"n1","Request":"r"}`)
	f.Add(byte(1), `{"Held":[{"Key":`+key+`,"State":1,"Outcome":{"Verdict":"ran"}}]}`)
	f.Add(byte(2), `{"Held":[{"Key":`+key+`,"Fingerprint":`+key+`,"State":-7,"Ended":"9999-01-01T00:00:00Z"}]}`)
	f.Add(byte(3), `{"Owner":"n1","Offset":1,"Live":["n0","n1"],"Part":-3,"Parts":-1}`)
	f.Add(byte(3), `{"Owner":"n1","Offset":1,"Live":[],"Part":9,"Parts":9223372036854775807}`)
	f.Fuzz(func(t *testing.T, which byte, params string) {
		n := New(Config{Peers: &network{nodes: map[string]*Node{}, rnd: rand.New(rand.NewPCG(1, 1))}})
		defer n.Close()
		n.SetMembers(1, []string{"n0"}, "n0", 0)
		methods := []string{MethodClaim, MethodFinish, MethodHold, MethodRebuild, "Dedup.Other"}
		for range 2 {
			r, err := n.Handle(methods[int(which)%len(methods)], json.RawMessage(params))
			if err != nil {
				continue
			}
			if _, err := json.Marshal(r); err != nil {
				t.Fatalf("%+v does not encode: %v", r, err)
			}
			var c dedup.Claim
			if reply, ok := r.(dedup.ClaimReply); ok && reply.Answer == dedup.Granted {
				if _ = json.Unmarshal([]byte(params), &c); c.Executor != "n0" {
					t.Fatalf("%s was granted", params)
				}
			}
		}
		n.SetMembers(2, []string{"n0", "n1"}, "n0", 1)
	})
}
