import {
	type Announcement, type EffectiveConfiguration, emptyConfiguration, toRevision,
} from '@valehitch/core';
import {match} from 'ts-pattern';
import {ServerTable} from '@valehitch/membership';
import {type ControlPart} from '../control/start-control.js';
import {type DaemonBase} from '../daemon-base.js';
import {type Member} from '../member.js';
import {activate, type ActiveConfiguration} from './active-configuration.js';
import {ConfigurationLink} from './configuration-link.js';
import {type DistributionMessage} from './messages.js';

/** The part of a daemon that knows the configuration, the members and the backend servers. */
export type DistributionPart = {
	readonly servers: ServerTable;
	/** The configuration that requests are served by; undefined before the first. */
	readonly active: () => ActiveConfiguration | undefined;
	/** The newest configuration known here. */
	readonly effective: () => EffectiveConfiguration;
	readonly members: () => readonly Member[];
	/** Takes what a backend server said of itself, and hands it on. */
	readonly announce: (announcement: Announcement) => void;
	/** Answers a message of another daemon. */
	readonly answer: (message: DistributionMessage) => Promise<unknown>;
	readonly stop: () => void;
};

const renewalsBeforeExpiry = 3;
const pollsPerLease = 10;

/**
Starts the distribution of configuration, members and announcements.

@param base What every part works with.
@param control The control part.
@returns The part.
@example
```ts
const distribution = startDistribution(base, control);
```
*/
export function startDistribution(base: DaemonBase, control: ControlPart): DistributionPart {
	const {settings: {timing, zone, control: controlInstances, instance}, clock, timeline, network, self, log} = base;
	const servers = new ServerTable({clock, zone, expiryMilliseconds: timing.announcementRenewMilliseconds * renewalsBeforeExpiry});
	let active: ActiveConfiguration | undefined;

	const link = new ConfigurationLink({
		network,
		self,
		sources: controlInstances,
		pollMilliseconds: timing.configurationLeaseMilliseconds / pollsPerLease,
		onConfiguration(effective) {
			activate(effective).caseOf({
				Left(failed) {
					log.error({failure: failed}, 'The configuration could not be put in force');
				},
				Right(next) {
					active = next;
					timeline.record('configuration-in-force', {revision: effective.revision});
				},
			});
		},
	});

	function take(announcement: Announcement): boolean {
		const known = servers.current().some(server => server.announcement.server === announcement.server);
		const isNews = servers.take(announcement);
		if (isNews && !known) {
			timeline.record('server-joined', {server: announcement.server});
		}

		return isNews;
	}

	link.start();
	return {
		servers,
		active: () => active,
		effective: () => active?.effective ?? {revision: toRevision(0), document: emptyConfiguration, rollouts: {}},
		members: () => link.members,
		announce(announcement) {
			if (!take(announcement)) {
				return;
			}

			for (const member of link.members) {
				if (member.instance !== instance) {
					network.send(member, {scope: 'distribution', type: 'announcement', announcement});
				}
			}
		},
		answer: async message => match(message)
			.with({type: 'subscribe'}, subscribe => control.subscribe(subscribe))
			.with({type: 'announcement'}, ({announcement}) => {
				take(announcement);
				return undefined;
			})
			.exhaustive(),
		stop() {
			link.stop();
		},
	};
}
