package service

// PolicyName is the name of a load-balancing policy in the settings.
type PolicyName string

// Names of the policies. All but the first are baselines for benchmarks.
const (
	PolicyShortestExpectedDelay PolicyName = "sed"
	PolicyRoundRobin            PolicyName = "rr"
	PolicyRandom                PolicyName = "random"
	PolicyLeastInFlight         PolicyName = "least"
	PolicyPowerOfTwo            PolicyName = "p2c"
)

// Valid reports whether a policy with this name exists.
func (n PolicyName) Valid() bool { return n.New() != nil }

// New returns a new policy for one service, or nil if the name is unknown.
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
