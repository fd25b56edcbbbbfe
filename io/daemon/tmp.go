package daemon

func (d *Daemon) setClaimMembers(v view) {}
