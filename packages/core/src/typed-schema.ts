import {type z} from 'zod';

/**
Names the type that a schema gives, with branded ids in place of plain strings.

The schema is the check; this only tells the compiler what was checked.

@param schema A schema whose output has the shape of `Value`.
@returns The same schema.
@example
```ts
const memberSchema = typedSchema<Member>(z.strictObject({instance: z.string()}));
```
*/
export function typedSchema<Value>(schema: z.ZodType): z.ZodType<Value> {
	return schema as z.ZodType<Value>;
}
