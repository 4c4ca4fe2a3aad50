import {firstEventAt} from './_speed-trial-pool.js';
import {type UnevenRule, workAt} from './_uneven-trial.js';

/** The choice of the product. */
export const byProduct: UnevenRule = ({servers, chooseByProduct}) => {
	const id = chooseByProduct();
	return servers.findIndex(server => server.id === id);
};

/** Chance alone. */
export const byChance: UnevenRule = ({servers, random}) => Math.floor(random() * servers.length);

/** The earliest first event of all servers, with nothing unknown: neither work, nor kept parts, nor speeds, nor moments of slowness to come. */
export const byFullKnowledge: UnevenRule = ({servers, prompt, now}) => {
	let best = 0;
	let bestAt = Infinity;
	for (const [index, server] of servers.entries()) {
		const at = firstEventAt(server, {work: workAt(server, prompt), now});
		if (at < bestAt) {
			best = index;
			bestAt = at;
		}
	}

	return best;
};
