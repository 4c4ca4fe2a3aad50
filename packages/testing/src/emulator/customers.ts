import {type EmulatedModel} from './emulated-engine.js';
import {type CustomerSheet} from './load-shape.js';

const models: readonly EmulatedModel[] = [
	{id: 'small', pace: 1, ability: 0.55},
	{id: 'middle', pace: 1.3, ability: 0.75},
	{id: 'large', pace: 1.8, ability: 0.97},
];

/** Synthetic profiles modeled on the data sheets of the three customers: engines, request rates, kinds of prompts and how often prompt prefixes repeat. */
export const customerSheets: Readonly<Record<'coilTraceability' | 'qualityLogs' | 'railcarLeasing', CustomerSheet>> = {
	coilTraceability: {
		zones: 3, entries: 7, engines: 13, models, calmRequestsPerSecond: 45,
		sheet: {
			slots: 64, queue: 64, memoryTokens: 500_000, readTokens: 57, stepMilliseconds: 3.8, chunkTokens: 512,
		},
		kinds: [
			{
				name: 'drafts', weight: 29, sharedTokens: 6300, ownTokens: 2900, outputTokens: 52, subjects: 500, targetLatency: 2000,
			},
			{
				name: 'summaries', weight: 30, sharedTokens: 570, ownTokens: 1800, outputTokens: 24, subjects: 500, targetLatency: 3000,
			},
			{
				name: 'lookups', weight: 15, sharedTokens: 170, ownTokens: 540, outputTokens: 280, subjects: 500, targetLatency: 4000,
			},
		],
	},
	qualityLogs: {
		zones: 3, entries: 7, engines: 8, models, calmRequestsPerSecond: 30,
		sheet: {
			slots: 64, queue: 64, memoryTokens: 440_000, readTokens: 57, stepMilliseconds: 3.1, chunkTokens: 512,
		},
		kinds: [
			{
				name: 'summaries', weight: 19, sharedTokens: 6300, ownTokens: 2900, outputTokens: 50, subjects: 500, targetLatency: 2000,
			},
			{
				name: 'explanations', weight: 20, sharedTokens: 570, ownTokens: 1800, outputTokens: 25, subjects: 500, targetLatency: 3000,
			},
			{
				name: 'notes', weight: 10, sharedTokens: 170, ownTokens: 540, outputTokens: 280, subjects: 500, targetLatency: 4000,
			},
		],
	},
	railcarLeasing: {
		zones: 3, entries: 9, engines: 13, models, calmRequestsPerSecond: 60,
		sheet: {
			slots: 32, queue: 32, memoryTokens: 660_000, readTokens: 101, stepMilliseconds: 3, chunkTokens: 512,
		},
		kinds: [
			{
				name: 'digests', weight: 18, sharedTokens: 5400, ownTokens: 6600, outputTokens: 385, subjects: 120, targetLatency: 2000,
			},
			{
				name: 'write-ups', weight: 29, sharedTokens: 200, ownTokens: 630, outputTokens: 294, subjects: 200, targetLatency: 2000,
			},
			{
				name: 'classes', weight: 33, sharedTokens: 570, ownTokens: 1800, outputTokens: 21, subjects: 200, targetLatency: 3000,
			},
		],
	},
};
