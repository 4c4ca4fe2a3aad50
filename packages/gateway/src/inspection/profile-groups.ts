type GroupRule = {
	readonly pattern: RegExp;
	readonly group: string;
};

/** The prefix of the groups of messages between instances, each followed by the kind of the messages. */
const messagePrefix = 'messages: ';
/** The group of the code that carries messages of all kinds. */
const carrierGroup = `${messagePrefix}connections`;

/** The first rule whose pattern matches a module holds. */
const rules: readonly GroupRule[] = [
	{pattern: /^gateway\/entry\/load-exchange$/v, group: `${messagePrefix}loads`},
	{pattern: /^gateway\/(?:entry\/(?:pool-loads|work-reporter)|control\/pool-work)$|^routing\/(?:work-|recent-times|server-slowness)/v, group: `${messagePrefix}pool digest`},
	{pattern: /^gateway\/entry\/send-borrower$/v, group: `${messagePrefix}borrowed sends`},
	{pattern: /^gateway\/(?:control\/suspect-|entry\/(?:entry-suspects|suspect-reporter))/v, group: `${messagePrefix}suspects`},
	{pattern: /^gateway\/(?:entry\/(?:control-watch|apply-server-news)|control\/entry-watches)$/v, group: `${messagePrefix}watches`},
	{pattern: /^gateway\/(?:control\/(?:server-directory-sync|relay-lists)$|servers\/)/v, group: `${messagePrefix}server lists`},
	{pattern: /^gateway\/(?:rollouts\/|control\/rollout-|entry\/evidence-counter$)/v, group: `${messagePrefix}rollouts`},
	{pattern: /^gateway\/control\/rate-lease-|^gateway\/control\/cold-/v, group: `${messagePrefix}rate leases`},
	{pattern: /^platform\/decode-(?:announcement|brittleness|pause|rate-limit|server-id)$/v, group: `${messagePrefix}notices of servers`},
	{pattern: /^(?:consensus|control|membership|replication|storage)\//v, group: `${messagePrefix}replication`},
	{pattern: /^gateway\/control\//v, group: `${messagePrefix}control`},
	{pattern: /^platform\/handle-control$/v, group: `${messagePrefix}control`},
	{pattern: /^transport\/(?:_frame|_peer-link|peer-network|set-interval-after-poll)$/v, group: carrierGroup},
	{pattern: /^(?:routing|policy)\//v, group: 'decisions'},
	{pattern: /^gateway\/entry\/(?:escalation-demand|extend-head-timeouts|prompt-work|request-admission|run-admission|server-speeds)$/v, group: 'decisions'},
	{pattern: /^gateway\/entry\/(?:choose-|entry-servers|is-server-|known-|latency-estimator|model-cascade|placement|repeat-tracker)/v, group: 'decisions'},
	{pattern: /^gateway\/entry\/(?:send-allowance|send-limits|server-availability|server-liveness|tracked-server|version-pins)/v, group: 'decisions'},
	{pattern: /^(?:settings|gateway\/configuration)\//v, group: 'configuration'},
	{pattern: /^gateway\/entry\/(?:authorize-|configuration-lease)/v, group: 'configuration'},
	{pattern: /^platform\/(?:decode-configuration|platform-settings|settings-file)$/v, group: 'configuration'},
	{pattern: /^gateway\/(?:inspection|logs)\//v, group: 'logs and metrics'},
	{pattern: /^(?:core|gateway|platform|transport)\//v, group: 'forwarding'},
];

/**
Returns the group of a module in the profile of a process.

@param module The package and the path of the module, such as `gateway/entry/relay-stream`.
@returns The group, such as `forwarding`; undefined for modules of libraries and of the runtime.
@example
```ts
groupOfModule('gateway/entry/relay-stream'); // 'forwarding'
```
*/
export function groupOfModule(module: string): string | undefined {
	for (const {pattern, group} of rules) {
		if (pattern.test(module)) {
			return group;
		}
	}

	return undefined;
}

/**
Returns the group that the time of a function counts for. Libraries and the runtime count for their caller, and the connections between instances for the messages that they carry.

@param own The group of the function's own module; undefined if it has none.
@param caller The group of its caller; undefined if it has none.
@returns The group; undefined if neither has one.
@example
```ts
groupOfCall(undefined, 'forwarding'); // 'forwarding'
```
*/
export function groupOfCall(own: string | undefined, caller: string | undefined): string | undefined {
	const isCarried = own === carrierGroup && caller?.startsWith(messagePrefix) === true;
	return own === undefined || isCarried ? caller : own;
}
