import {type ControlMessage} from './control/messages.js';
import {type RatingsMessage} from './control/rollouts/ratings-message.js';
import {type DistributionMessage} from './distribution/messages.js';
import {type EntryMessage} from './entry/messages.js';

/** The closed list of messages between daemons; `scope` names the part that handles one. */
export type PeerMessage = ControlMessage | DistributionMessage | EntryMessage | RatingsMessage;
