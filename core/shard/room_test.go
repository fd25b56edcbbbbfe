package shard

import "testing"

// TestRoomForSingleItems guards against an item that never starts beside idle VMs. The demand is a sum over all items, and a pool offers the
// VMs beyond it; those that it keeps may all have less free than one item needs.
func TestRoomForSingleItems(t *testing.T) { playClosedCases(t, "testdata/room.toml") }
