package service

// PolicyName selects a policy in the settings of an instance.
type PolicyName string

// Names of the policies. All but the first are baselines for measurements.
const (
	PolicyShortestExpectedDelay PolicyName = "sed"
	PolicyRoundRobin            PolicyName = "rr"
	PolicyRandom                PolicyName = "random"
	PolicyLeastInFlight         PolicyName = "least"
	PolicyPowerOfTwo            PolicyName = "p2c"
)

// Known tells whether there is a policy with this name.
func (n PolicyName) Known() bool { return n.New() != nil }

// New returns a policy for one service, or nil if there is none with this name.
func (n PolicyName) New() Policy {
	switch n {
	case PolicyShortestExpectedDelay:
		return ShortestExpectedDelay{}
	case PolicyRoundRobin:
		return &RoundRobin{}
	case PolicyRandom:
		return Random{}
	case PolicyLeastInFlight:
		return LeastInFlight{}
	case PolicyPowerOfTwo:
		return PowerOfTwo{}
	default:
		return nil
	}
}
