package meter

// Counter, Gauge and Histogram are the kinds of metrics.
const (
	Counter   = "counter"
	Gauge     = "gauge"
	Histogram = "histogram"
)

// Metric describes one metric of a host on the users' platform, for the reference page.
type Metric struct {
	// Name is the metric's name without the prefix of the program.
	Name   string
	Kind   string
	Labels string
	Help   string
}

// Metrics lists the metrics of a host on the users' platform.
var Metrics = []Metric{
	{Name: "relay_requests", Kind: Counter, Labels: "outcome, route", Help: "requests answered here; outcomes: whole, partial, late, refused (the target's own failure), left (the caller has left), and the kinds of refusals of API.md; at most 32 routes have a label, the others share `other`"},
	{Name: "relay_request_seconds", Kind: Histogram, Labels: "outcome, route", Help: "time from the request's arrival to its answer"},
	{Name: "relay_refused", Kind: Counter, Labels: "kind", Help: "requests refused before a route was chosen or for its configuration"},
	{Name: "relay_missing_shards", Kind: Counter, Help: "shards that merged answers left out"},
	{Name: "relay_hedges", Kind: Counter, Help: "sub-requests sent because another was overdue"},
	{Name: "relay_retries", Kind: Counter, Help: "sub-requests sent because another failed"},
	{Name: "relay_without_room", Kind: Counter, Help: "requests refused because too much was under way, after a short wait"},
	{Name: "relay_silent_refusals", Kind: Counter, Help: "requests refused at once because too few of their targets answer"},
	{Name: "relay_groups_back", Kind: Counter, Help: "groups of shards that another host didn't take, asked from here"},
	{Name: "relay_groups_lost", Kind: Counter, Help: "groups of shards whose host gave no answer"},
	{Name: "relay_answers_too_long", Kind: Counter, Help: "answers of targets that had no end within their bounds"},
	{Name: "relay_broken_off", Kind: Counter, Labels: "reason, answered", Help: "sub-requests whose connection the target ended without a reply: the first of a shard, hedges and retries, by whether another target had replied to the same request"},
	{Name: "poison_quarantines", Kind: Counter, Labels: "origin", Help: "requests that were quarantined because targets end under them, by who found out: this host (here) or another"},
	{Name: "poison_cleared", Kind: Counter, Help: "requests that are no suspects any more because a target has answered them, by this host or another"},
	{Name: "poison_trials", Kind: Counter, Labels: "result", Help: "trials of suspects in which the target ended: proven, or proving nothing because other targets ended beside it (unproven), others had just ended under the request (early), or the target ended under another request as well (shared)"},
	{Name: "poison_suspects", Kind: Gauge, Help: "requests under which targets have ended and that are tried at one target at a time"},
	{Name: "poison_quarantined", Kind: Gauge, Help: "requests whose copies are refused"},
	{Name: "coord_failed_over", Kind: Counter, Help: "requests that another host answered because this one had no way to the targets"},
	{Name: "front_path_lost", Kind: Gauge, Help: "1 while this host has no way to the targets and other hosts answer its requests"},
	{Name: "relay_leaving_sends", Kind: Counter, Labels: "origin", Help: "sub-requests sent to a target that this host knew to be draining or gone, by who said so: the store, the target, or another host"},
	{Name: "relay_leaving_targets", Kind: Counter, Labels: "origin", Help: "targets that have said that they leave, by who told this host: the target or another host"},
	{Name: "relay_quiet_targets", Kind: Counter, Help: "times that a target said for how long it wants nothing from this host"},
	{Name: "relay_words_ignored", Kind: Counter, Help: "answers in which a target said something of itself that has no meaning"},
	{Name: "relay_targets_leaving_by_word", Kind: Gauge, Help: "targets that are taken for leaving at their own word"},
	{Name: "relay_rate_limit_changes", Kind: Counter, Labels: "origin", Help: "rate limits of targets that were stated, changed or ended, by who told this host: the target or another host"},
	{Name: "relay_rate_limited_sends", Kind: Counter, Labels: "caller, reason", Help: "sub-requests sent to a target that states a rate limit: the first of a shard, hedges and retries, for this host's own callers or for another host"},
	{Name: "relay_targets_quiet", Kind: Gauge, Help: "targets that want nothing from this host at the moment"},
	{Name: "relay_limits_share", Kind: Gauge, Help: "part of the limits over all hosts that this host may use"},
	{Name: "coord_rate_leases", Kind: Gauge, Help: "targets with a rate limit of which this host holds a share by lease"},
	{Name: "coord_rate_share_failures", Kind: Counter, Help: "calls for shares of rate limits that a host gave no answer to"},
	{Name: "coord_hosts", Kind: Gauge, Help: "hosts that are known"},
	{Name: "coord_forwarded", Kind: Counter, Help: "requests that a coordinator answered"},
	{Name: "coord_aside", Kind: Counter, Help: "requests that a coordinator didn't take: it was starting or had an older configuration"},
	{Name: "coord_lost", Kind: Counter, Help: "requests that a coordinator gave no answer to"},
	{Name: "store_calls", Kind: Counter, Labels: "call", Help: "calls to the platform's store, by what is called"},
	{Name: "follow_config_version", Kind: Gauge, Help: "version of the configuration in force"},
	{Name: "follow_targets", Kind: Gauge, Help: "targets that are known"},
	{Name: "follow_targets_draining", Kind: Gauge, Help: "those of them that are leaving"},
	{Name: "follow_operator_age_seconds", Kind: Gauge, Help: "time since configuration and data centres out of service were known to show all changes"},
	{Name: "follow_targets_age_seconds", Kind: Gauge, Help: "time since the targets were known to show all changes"},
	{Name: "follow_targets_behind_seconds", Kind: Gauge, Help: "time for which the store has been known to have changes, of any key, that the targets don't show yet"},
	{Name: "follow_calls_cut", Kind: Counter, Help: "calls that wait for changes and ended without an answer"},
	{Name: "follow_store_failures", Kind: Counter, Help: "calls that the store gave no answer to"},
	{Name: "follow_store_reachable", Kind: Gauge, Help: "1 while the store answers, 0 while it doesn't"},
	{Name: "follow_spare_reads", Kind: Counter, Help: "views taken from other hosts while the store couldn't be reached"},
	{Name: "follow_unreadable_configs", Kind: Counter, Help: "configurations that could not be read"},
	{Name: "follow_unreadable_entries", Kind: Counter, Help: "entries of targets and hosts that could not be used, each revision once"},
	{Name: "follow_older_readings", Kind: Counter, Help: "readings of the targets that were older than the last and dropped"},
	{Name: "follow_store_epoch", Kind: Gauge, Help: "newest known epoch of the store, which rises when it is restored from an older copy; 0 where it states none"},
	{Name: "follow_store_restores", Kind: Counter, Help: "restores of the store from an older copy that this host has noticed"},
	{Name: "follow_feed_earlier_epoch", Kind: Counter, Help: "answers of other hosts that didn't know of a restore of the store yet, dropped"},
	{Name: "follow_feed_dropped", Kind: Counter, Help: "views of other hosts that couldn't be decoded, or differed from the present ones and were older; the host reads another one or the store"},
	{Name: "follow_feed_failures", Kind: Counter, Help: "questions to other hosts for their views without an answer"},
	{Name: "follow_feed_repeated", Kind: Counter, Help: "answers of other hosts that changed nothing, since this host deviates from them on purpose; each is followed by a pause"},
	{Name: "follow_feed_stale", Kind: Counter, Help: "answers of other hosts that had lost the store themselves"},
	{Name: "front_rejected", Kind: Counter, Labels: "kind, status, from", Help: "requests that ended with a status from 300 to 499, by what decided it: a kind of refusal of API.md, a target (its signed status), or another host (unsigned); from callers or from other hosts (host). Requests that aren't HTTP are answered before and not counted"},
	{Name: "front_accept_failures", Kind: Counter, Help: "connections of other hosts that couldn't be accepted, for lack of descriptors or memory; the host tries again"},
	{Name: "front_cut_off", Kind: Gauge, Help: "1 while the host is cut off from most data centres, can't serve and sends callers elsewhere"},
	{Name: "pool_dials", Kind: Counter, Help: "new connections to targets and hosts"},
	{Name: "pool_reuses", Kind: Counter, Help: "requests over kept connections"},
	{Name: "pool_stale_answers", Kind: Counter, Help: "answers to other requests that were passed over"},
}
