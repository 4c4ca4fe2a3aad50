import {type ControlMessage} from './control/messages.js';
import {type RatingsMessage} from './control/rollouts/ratings-message.js';
import {type DistributionMessage} from './distribution/messages.js';
import {type EntryMessage} from './entry/messages.js';

/** Any message between daemons; `scope` selects the component that handles it. */
export type PeerMessage = ControlMessage | DistributionMessage | EntryMessage | RatingsMessage;
