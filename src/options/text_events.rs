//! Checks of a YAML text before its tree is built: keys that stand twice, and aliases that expand without bound.
//!
//! The tree keeps the last of two equal keys and copies what an alias refers to, so that both faults are invisible, or
//! endless, once it is built: ten levels of eight aliases each make a billion nodes.

use saphyr_parser::{Event, Parser};

use crate::options::schema_check::ConfigError;

/// Most nodes of a text, aliases expanded: twice the eleven nodes of each of 12,000 targets.
const NODE_LIMIT: u64 = 250_000;

#[derive(Debug)]
struct OpenNode {
    anchor: usize,
    /// Nodes in it so far, itself included.
    nodes: u64,
    /// Keys and their lines, for a mapping.
    keys: Option<Vec<(String, usize)>>,
    /// Path of the node.
    field: String,
    /// Whether the next node of a mapping is a value.
    expects_value: bool,
}

#[derive(Debug, Default)]
struct EventChecker {
    open: Vec<OpenNode>,
    /// Nodes behind each anchor, sorted by anchor.
    anchors: Vec<(usize, u64)>,
    errors: Vec<ConfigError>,
}

/// Errors of a text that its tree does not show; one that is no YAML has none here.
#[must_use]
pub fn check_events(text: &str) -> Vec<ConfigError> {
    let mut checker = EventChecker::default();
    for event in Parser::new_from_str(text) {
        let Ok((event, span)) = event else { break };
        let line = span.start.line();
        match event {
            Event::Scalar(value, _, anchor, _) => {
                checker.note_key(Some(&value), line);
                checker.set_anchor(anchor, 1);
                checker.add(1, line);
            }
            Event::Alias(anchor) => {
                checker.note_key(None, line);
                checker.add(checker.anchor_nodes(anchor), line);
            }
            Event::SequenceStart(anchor, _) => checker.start(anchor, None, line),
            Event::MappingStart(anchor, _) => checker.start(anchor, Some(Vec::new()), line),
            Event::SequenceEnd | Event::MappingEnd => checker.end(line),
            Event::Nothing | Event::StreamStart | Event::StreamEnd | Event::DocumentStart(_) | Event::DocumentEnd => {}
        }
        if checker.errors.iter().any(|error| error.field == "(text)") {
            break;
        }
    }
    checker.errors
}

impl EventChecker {
    /// Notes the start of a node of the innermost mapping; a scalar in the place of a key is checked.
    fn note_key(&mut self, scalar: Option<&str>, line: usize) {
        let Some(parent) = self.open.last_mut() else { return };
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

    fn start(&mut self, anchor: usize, keys: Option<Vec<(String, usize)>>, line: usize) {
        let field = match self.open.last() {
            Some(OpenNode { keys: Some(keys), field, .. }) => {
                let key = keys.last().map_or("", |(key, _)| key.as_str());
                if field.is_empty() { key.to_owned() } else { format!("{field}.{key}") }
            }
            Some(parent) => format!("{}[]", parent.field),
            None => String::new(),
        };
        self.note_key(None, line);
        self.open.push(OpenNode { anchor, nodes: 1, keys, field, expects_value: false });
    }

    fn end(&mut self, line: usize) {
        let Some(node) = self.open.pop() else { return };
        self.set_anchor(node.anchor, node.nodes);
        self.add(node.nodes, line);
    }

    fn set_anchor(&mut self, anchor: usize, nodes: u64) {
        // Anchor 0 stands for none.
        if anchor == 0 {
            return;
        }
        match self.anchors.binary_search_by(|(known, _)| known.cmp(&anchor)) {
            Ok(position) => self.anchors[position].1 = nodes,
            Err(position) => self.anchors.insert(position, (anchor, nodes)),
        }
    }

    fn anchor_nodes(&self, anchor: usize) -> u64 {
        let position = self.anchors.binary_search_by(|(known, _)| known.cmp(&anchor));
        position.map_or(1, |position| self.anchors[position].1)
    }

    /// Adds nodes to the innermost open node; too many are an error of the whole text.
    fn add(&mut self, nodes: u64, line: usize) {
        let Some(parent) = self.open.last_mut() else { return };
        parent.nodes = parent.nodes.saturating_add(nodes);
        if parent.nodes > NODE_LIMIT {
            self.errors.push(ConfigError {
                line,
                field: "(text)".to_owned(),
                found: "more nodes than that with its aliases expanded".to_owned(),
                allowed: format!("at most {NODE_LIMIT} nodes"),
            });
        }
    }
}
