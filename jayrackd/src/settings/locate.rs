//! Finds the line of a field in the text of the settings.
use jsonc_parser::{CollectOptions, ParseOptions, ast::Value, common::Ranged, parse_to_ast};

/// Line of the field at `path` (such as `operators[1].role`), counted from 1.
///
/// For a field that is absent, the line of the closest enclosing value; 0 if the text cannot be parsed.
pub fn line_of(text: &str, path: &str) -> usize {
    let parsed = parse_to_ast(text, &CollectOptions::default(), &ParseOptions::default());
    let Some(root) = parsed.ok().and_then(|result| result.value) else {
        return 0;
    };
    let position = position_of(&root, path);
    1 + text[..position].matches('\n').count()
}

fn position_of(root: &Value<'_>, path: &str) -> usize {
    let mut position = root.range().start;
    let mut value = root;
    for segment in path
        .split(['.', '['])
        .map(|segment| segment.trim_end_matches(']'))
    {
        let child = match value {
            Value::Object(object) => object
                .get(segment)
                .map(|property| (property.range().start, &property.value)),
            Value::Array(array) => {
                let element = segment
                    .parse()
                    .ok()
                    .and_then(|index: usize| array.elements.get(index));
                element.map(|element| (element.range().start, element))
            }
            _ => None,
        };
        let Some((start, next)) = child else {
            return position;
        };
        position = start;
        value = next;
    }
    position
}
