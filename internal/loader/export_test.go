package loader

// PollOnce requests and publishes one report.
var PollOnce = (*Loader).pollOnce
