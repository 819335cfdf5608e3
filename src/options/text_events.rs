//! Checks on the parser events of a YAML text, before its tree is built: duplicate keys and too many nodes.
//!
//! The tree cannot show these errors. It keeps only the last of two equal keys. It copies the node that an alias refers
//! to, so a short text can make it too large to build: ten levels of eight aliases each make a billion nodes.

use saphyr_parser::{Event, Parser};

use crate::options::schema_check::ConfigError;

/// Most nodes of a text after the expansion of aliases. 12,000 targets with eleven nodes each need about half of them.
const MAX_NODES: u64 = 250_000;

/// A mapping or sequence whose end event has not come yet.
#[derive(Debug)]
struct OpenNode {
    /// Number that the parser gave the anchor; 0 without an anchor.
    anchor: usize,
    /// Number of nodes in this node so far, including the node itself and the expansion of aliases.
    nodes: u64,
    /// Scalar keys of a mapping with their lines; `None` for a sequence.
    keys: Option<Vec<(String, usize)>>,
    /// Path of the node, with `[]` for the items of a sequence.
    field: String,
    /// Whether the next child is the value of a key; not used for a sequence.
    expects_value: bool,
}

#[derive(Debug, Default)]
struct EventChecker {
    /// Open nodes from the root to the innermost one.
    open_nodes: Vec<OpenNode>,
    /// Number of nodes that an alias of each anchor expands to, sorted by anchor.
    anchor_nodes: Vec<(usize, u64)>,
    errors: Vec<ConfigError>,
}

/// Returns an error for each duplicate key, and one if the text has more than `MAX_NODES` nodes.
///
/// The check ends without an error of its own at the first syntax error, which the caller's YAML parser reports.
#[must_use]
pub fn check_events(text: &str) -> Vec<ConfigError> {
    let mut checker = EventChecker::default();
    for event in Parser::new_from_str(text) {
        let Ok((event, span)) = event else { break };
        let line = span.start.line();
        match event {
            Event::Scalar(value, _, anchor, _) => {
                checker.record_child(Some(&value), line);
                checker.record_anchor(anchor, 1);
                checker.add_nodes(1, line);
            }
            Event::Alias(anchor) => {
                checker.record_child(None, line);
                checker.add_nodes(checker.alias_nodes(anchor), line);
            }
            Event::SequenceStart(anchor, _) => checker.open_node(anchor, None, line),
            Event::MappingStart(anchor, _) => checker.open_node(anchor, Some(Vec::new()), line),
            Event::SequenceEnd | Event::MappingEnd => checker.close_node(line),
            Event::Nothing | Event::StreamStart | Event::StreamEnd | Event::DocumentStart(_) | Event::DocumentEnd => {}
        }
        if checker.errors.iter().any(|error| error.field == "(text)") {
            break;
        }
    }
    checker.errors
}

impl EventChecker {
    /// Records the start of a child of the innermost open node. The children of a mapping are keys and values in turn;
    /// a scalar key that the mapping already has is an error. `scalar` is `None` for an alias, a mapping or a sequence.
    fn record_child(&mut self, scalar: Option<&str>, line: usize) {
        let Some(parent) = self.open_nodes.last_mut() else { return };
        let Some(keys) = &mut parent.keys else { return };
        let is_value = parent.expects_value;
        parent.expects_value = !is_value;
        let Some(key) = scalar.filter(|_| !is_value) else { return };
        let earlier = keys.iter().find(|(known, _)| known == key).map(|(_, line)| *line);
        if let Some(earlier) = earlier {
            let field = if parent.field.is_empty() { key.to_owned() } else { format!("{}.{key}", parent.field) };
            self.errors.push(ConfigError {
                line,
                field,
                found: format!("a key that stands on line {earlier} too"),
                allowed: "each key once".to_owned(),
            });
        }
        keys.push((key.to_owned(), line));
    }

    fn open_node(&mut self, anchor: usize, keys: Option<Vec<(String, usize)>>, line: usize) {
        let field = match self.open_nodes.last() {
            Some(OpenNode { keys: Some(keys), field, .. }) => {
                let key = keys.last().map_or("", |(key, _)| key.as_str());
                if field.is_empty() { key.to_owned() } else { format!("{field}.{key}") }
            }
            Some(parent) => format!("{}[]", parent.field),
            None => String::new(),
        };
        self.record_child(None, line);
        self.open_nodes.push(OpenNode { anchor, nodes: 1, keys, field, expects_value: false });
    }

    fn close_node(&mut self, line: usize) {
        let Some(node) = self.open_nodes.pop() else { return };
        self.record_anchor(node.anchor, node.nodes);
        self.add_nodes(node.nodes, line);
    }

    fn record_anchor(&mut self, anchor: usize, nodes: u64) {
        // The parser gives number 0 to a node without an anchor.
        if anchor == 0 {
            return;
        }
        match self.anchor_nodes.binary_search_by(|(known, _)| known.cmp(&anchor)) {
            Ok(position) => self.anchor_nodes[position].1 = nodes,
            Err(position) => self.anchor_nodes.insert(position, (anchor, nodes)),
        }
    }

    fn alias_nodes(&self, anchor: usize) -> u64 {
        let position = self.anchor_nodes.binary_search_by(|(known, _)| known.cmp(&anchor));
        position.map_or(1, |position| self.anchor_nodes[position].1)
    }

    /// Adds nodes to the innermost open node. More than `MAX_NODES` are an error of the whole text.
    fn add_nodes(&mut self, nodes: u64, line: usize) {
        let Some(parent) = self.open_nodes.last_mut() else { return };
        parent.nodes = parent.nodes.saturating_add(nodes);
        if parent.nodes > MAX_NODES {
            self.errors.push(ConfigError {
                line,
                field: "(text)".to_owned(),
                found: "more nodes than that with its aliases expanded".to_owned(),
                allowed: format!("at most {MAX_NODES} nodes"),
            });
        }
    }
}
