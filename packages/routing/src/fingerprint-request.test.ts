import {Buffer} from 'node:buffer';
import {type WorkspaceId} from '@valehitch/core';
import test from 'ava';
import {type FingerprintedRequest, fingerprintRequest} from './fingerprint-request.js';

const request: FingerprintedRequest = {
	workspace: 'mills' as WorkspaceId, method: 'POST', host: 'desk.example', target: '/drafts/7', body: Buffer.from('draft'),
};

test('equal requests have the same fingerprint, and a difference in any property changes it', t => {
	const fingerprint = fingerprintRequest(request);
	t.is(fingerprintRequest({...request, body: Buffer.from('draft')}), fingerprint);
	const others: readonly FingerprintedRequest[] = [
		{...request, workspace: 'yards' as WorkspaceId},
		{...request, workspace: undefined},
		{...request, method: 'PUT'},
		{...request, host: 'other.example'},
		{...request, target: '/drafts/7?page=2'},
		{...request, body: Buffer.from('drafts')},
	];
	t.is(new Set([fingerprint, ...others.map(other => fingerprintRequest(other))]).size, others.length + 1);
});

test('a fingerprint is a hash of 32 hexadecimal digits', t => {
	t.regex(fingerprintRequest(request), /^[\da-f]{32}$/v);
});
