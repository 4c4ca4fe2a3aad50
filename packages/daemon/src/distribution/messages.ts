import {type Announcement, type EffectiveConfiguration, type Revision} from '@valehitch/core';
import {type Member} from '../member.js';

/** Asks for what is new, and says what is in force on the sender. */
export type SubscribeMessage = {
	readonly scope: 'distribution';
	readonly type: 'subscribe';
	readonly member: Member;
	/** The revision in force on the sender. */
	readonly revision: Revision;
};

/** What a subscriber gets. */
export type SubscribeReply = {
	readonly revision: Revision;
	/** The configuration, where the subscriber's is older. */
	readonly effective?: EffectiveConfiguration;
	readonly members: readonly Member[];
};

/** Hands on what a backend server said of itself. */
export type AnnouncementMessage = {
	readonly scope: 'distribution';
	readonly type: 'announcement';
	readonly announcement: Announcement;
};

/** The closed list of messages that spread configuration and announcements. */
export type DistributionMessage = SubscribeMessage | AnnouncementMessage;
