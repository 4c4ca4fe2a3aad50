import {createGatewayMetrics} from '../logs/gateway-metrics.js';
import {EntryWatches} from './entry-watches.js';
import {ServerNews, type ServerNewsOptions} from './server-news.js';

const heartbeatMilliseconds = 1200;

/** The parts of a control instance that know of servers. */
export type TestControl = {
	readonly run: string;
	readonly news: ServerNews;
	readonly watches: EntryWatches;
};

type StartTestControlOptions = Pick<ServerNewsOptions, 'clock' | 'others' | 'ask' | 'saved'> & {
	/** Names the run of the process. */
	readonly run: string;
};

/** Starts the parts of a control instance, without their timers: a test brings about the rounds. */
export function startTestControl({run, ...options}: StartTestControlOptions): TestControl {
	const news = new ServerNews({
		...options, log: ignore, metrics: createGatewayMetrics(), heartbeatMilliseconds, onChange: ignore,
	});
	const watches = new EntryWatches({
		clock: options.clock,
		run,
		directory: news.directory,
		suspects: {cursor: 0, changedSince: () => []},
		news: () => ({
			configuration: undefined, rollouts: [], confirmedAt: undefined, hosts: options.others(),
		}),
	});
	void news.start();
	news.stop();
	return {run, news, watches};
}

function ignore(): void {
	// Nobody is told.
}
