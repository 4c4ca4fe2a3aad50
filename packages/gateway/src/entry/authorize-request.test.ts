import test from 'ava';
import {testConfiguration, testRoute} from '../configuration/_test-configuration.js';
import {RouteTable} from '../configuration/route-table.js';
import {testRequest} from './_test-request.js';
import {authorizeRequest} from './authorize-request.js';
import {testLease} from './_test-lease.js';

function kindOf(changes: Parameters<typeof testRequest>[0], {confirmedAgo = 100, table = new RouteTable(testConfiguration()), isNew = false} = {}): string {
	const lease = testLease({duration: 4500});
	lease.confirm(10_000 - confirmedAgo);
	return authorizeRequest(testRequest(changes), {table: isNew ? undefined : table, lease, now: 10_000}).caseOf<string>({
		Left: ({kind}) => kind,
		Right: ({workspace}) => workspace?.id ?? 'public',
	});
}

test('a request needs a route and a key that a workspace holds', t => {
	t.is(kindOf({}), 'mills');
	t.is(kindOf({path: '/none/'}), 'not-found');
	t.is(kindOf({key: undefined}), 'unauthenticated');
	t.is(kindOf({key: 'other'}), 'unauthenticated');
	t.is(kindOf({}, {isNew: true}), 'no-configuration');
});

test('a key is not trusted once the configuration was confirmed too long ago; public routes go on', t => {
	const table = new RouteTable(testConfiguration({routes: [testRoute({isPublic: true})]}));
	t.is(kindOf({}, {confirmedAgo: 4499}), 'mills');
	t.is(kindOf({}, {confirmedAgo: 4500}), 'configuration-expired');
	t.is(kindOf({key: undefined}, {confirmedAgo: 4500, table}), 'public');
});

test('a configuration that was never confirmed in this run decides nothing against a caller', t => {
	const confirmedAgo = Number.POSITIVE_INFINITY;
	t.is(kindOf({}, {confirmedAgo}), 'configuration-expired');
	t.is(kindOf({path: '/none/'}, {confirmedAgo}), 'configuration-expired');
	t.is(kindOf({key: 'other'}, {confirmedAgo}), 'configuration-expired');
});
