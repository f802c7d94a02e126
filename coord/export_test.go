package coord

// RateOwners is rateOwners, for tests.
var RateOwners = rateOwners
