package upstream

import "fmt"

// StartGroup starts a group whose first member is the primary. The options
// apply to each member; a number from 1 is appended to the name.
func StartGroup(size int, options Options) ([]*Member, error) {
	var members []*Member
	for i := range size {
		memberOptions := options
		memberOptions.Name = fmt.Sprintf("%s%d", options.Name, i+1)
		memberOptions.Primary = i == 0
		m, err := Start(memberOptions)
		if err != nil {
			CloseGroup(members)
			return nil, err
		}
		members = append(members, m)
	}
	for _, m := range members {
		m.SetPeers(otherAddresses(members, m))
	}
	return members, nil
}

func otherAddresses(members []*Member, self *Member) []string {
	var out []string
	for _, m := range members {
		if m != self {
			out = append(out, m.ControlAddress())
		}
	}
	return out
}

// CloseGroup closes the members one after another.
func CloseGroup(members []*Member) {
	for _, m := range members {
		m.Close()
	}
}
