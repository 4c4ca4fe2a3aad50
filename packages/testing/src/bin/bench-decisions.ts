/**
Compares routing policies on simulated random loads of the three customers. Usage: `node bench-decisions.js [LOADS] [SECONDS] [TIMES]`; TIMES multiplies entry instances, engines and requests.

@module
*/
import process from 'node:process';
import {seededRandom} from '../_seeded-random.js';
import {customerProfiles} from '../emulator/customer-profiles.js';
import {type CustomerProfile, drawScenario} from '../emulator/load-scenario.js';
import {sumResults, type LoadResult} from '../emulator/load-result.js';
import {simulateLoad} from '../emulator/simulate-load.js';
import {policyVariants} from '../emulator/policies.js';

const [loads, seconds, times] = [process.argv[2] ?? 10, process.argv[3] ?? 20, process.argv[4] ?? 1].map(Number);
const firstSeed = 20_261_202;
const seedStep = 104_729;

function scaleDeployment({entries, engines, lowRequestsPerSecond, ...profile}: CustomerProfile, factor: number): CustomerProfile {
	return {
		...profile, entries: entries * factor, engines: engines * factor, lowRequestsPerSecond: lowRequestsPerSecond * factor,
	};
}

function percent(count: number, {requests}: LoadResult): string {
	return `${(100 * count / requests).toFixed(1)} %`;
}

/** Formats the mean and standard deviation, over the loads, of the percentage of good responses. */
function formatGoodShare(results: readonly LoadResult[]): string {
	const shares = results.map(({good, requests}) => 100 * good / requests);
	const mean = shares.reduce((sum, share) => sum + share, 0) / shares.length;
	const variance = shares.reduce((sum, share) => sum + ((share - mean) ** 2), 0) / shares.length;
	return `${mean.toFixed(1)} ± ${Math.sqrt(variance).toFixed(1)}`;
}

for (const [customer, profile] of Object.entries(customerProfiles)) {
	console.log(`\n${customer}: ${loads} loads of ${seconds} s, ${profile.entries * times!} entry instances, ${profile.engines * times!} engines`);
	console.log(['policy'.padEnd(34), 'good, % of a load'.padEnd(19), 'late'.padEnd(8), 'incorrect'.padEnd(10), 'failed'.padEnd(8), 'sends'.padEnd(7), 'tokens prefilled'].join(' '));
	for (const policy of policyVariants) {
		const results: LoadResult[] = [];
		for (let index = 0; index < loads!; index++) {
			const loadRandom = seededRandom(firstSeed + (index * seedStep));
			const scenario = drawScenario(scaleDeployment(profile, times!), {random: loadRandom, milliseconds: seconds! * 1000});
			results.push(simulateLoad(scenario, {policy, loadRandom, decisionRandom: seededRandom(firstSeed + index)}));
		}

		const sum = sumResults(results);
		console.log([
			policy.name.padEnd(34),
			formatGoodShare(results).padEnd(19),
			percent(sum.late, sum).padEnd(8),
			percent(sum.incorrect, sum).padEnd(10),
			percent(sum.failed, sum).padEnd(8),
			(sum.sends / sum.requests).toFixed(2).padEnd(7),
			`${Math.round(sum.tokensPrefilled / sum.requests)} per request, ${Math.round(100 * sum.tokensCached / (sum.tokensPrefilled + sum.tokensCached))} % cached`,
		].join(' '));
	}
}
