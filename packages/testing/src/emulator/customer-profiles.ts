import {type EmulatedModel} from './emulated-engine.js';
import {type CustomerProfile} from './load-scenario.js';

const models: readonly EmulatedModel[] = [
	{id: 'small', slowdownFactor: 1, capability: 0.55},
	{id: 'middle', slowdownFactor: 1.3, capability: 0.75},
	{id: 'large', slowdownFactor: 1.8, capability: 0.97},
];

/** Synthetic profiles modeled on the data sheets of the three customers: engines, request rates, kinds of prompts and how often prompt prefixes repeat. */
export const customerProfiles: Readonly<Record<'coilTraceability' | 'qualityLogs' | 'railcarLeasing', CustomerProfile>> = {
	coilTraceability: {
		zones: 3, entries: 7, engines: 13, models, lowRequestsPerSecond: 45,
		engineParameters: {
			slots: 64, queueLimit: 64, cacheTokens: 500_000, prefillTokensPerMillisecond: 57, stepMilliseconds: 3.8, prefillChunkTokens: 512,
		},
		kinds: [
			{
				name: 'drafts', weight: 29, sharedTokens: 6300, meanUniqueTokens: 2900, outputTokens: 52, distinctPrefixes: 500, targetLatency: 2000,
			},
			{
				name: 'summaries', weight: 30, sharedTokens: 570, meanUniqueTokens: 1800, outputTokens: 24, distinctPrefixes: 500, targetLatency: 3000,
			},
			{
				name: 'lookups', weight: 15, sharedTokens: 170, meanUniqueTokens: 540, outputTokens: 280, distinctPrefixes: 500, targetLatency: 4000,
			},
		],
	},
	qualityLogs: {
		zones: 3, entries: 7, engines: 8, models, lowRequestsPerSecond: 30,
		engineParameters: {
			slots: 64, queueLimit: 64, cacheTokens: 440_000, prefillTokensPerMillisecond: 57, stepMilliseconds: 3.1, prefillChunkTokens: 512,
		},
		kinds: [
			{
				name: 'summaries', weight: 19, sharedTokens: 6300, meanUniqueTokens: 2900, outputTokens: 50, distinctPrefixes: 500, targetLatency: 2000,
			},
			{
				name: 'explanations', weight: 20, sharedTokens: 570, meanUniqueTokens: 1800, outputTokens: 25, distinctPrefixes: 500, targetLatency: 3000,
			},
			{
				name: 'notes', weight: 10, sharedTokens: 170, meanUniqueTokens: 540, outputTokens: 280, distinctPrefixes: 500, targetLatency: 4000,
			},
		],
	},
	railcarLeasing: {
		zones: 3, entries: 9, engines: 13, models, lowRequestsPerSecond: 60,
		engineParameters: {
			slots: 32, queueLimit: 32, cacheTokens: 660_000, prefillTokensPerMillisecond: 101, stepMilliseconds: 3, prefillChunkTokens: 512,
		},
		kinds: [
			{
				name: 'digests', weight: 18, sharedTokens: 5400, meanUniqueTokens: 6600, outputTokens: 385, distinctPrefixes: 120, targetLatency: 2000,
			},
			{
				name: 'write-ups', weight: 29, sharedTokens: 200, meanUniqueTokens: 630, outputTokens: 294, distinctPrefixes: 200, targetLatency: 2000,
			},
			{
				name: 'classes', weight: 33, sharedTokens: 570, meanUniqueTokens: 1800, outputTokens: 21, distinctPrefixes: 200, targetLatency: 3000,
			},
		],
	},
};
