import {type EffectiveConfiguration} from '@valehitch/core';
import {type Settings} from '@valehitch/settings';
import {type ControlLink} from '../control/control-link.js';
import {type RequestCounter} from '../entry/request-counter.js';
import {type ServerTable} from '../entry/server-table.js';

/** What the operators' port works with. */
export type OperatorContext = {
	readonly settings: Settings;
	readonly control: ControlLink;
	readonly servers: ServerTable;
	readonly requests: RequestCounter;
	/** The newest configuration known here. */
	readonly effective: () => EffectiveConfiguration;
};
