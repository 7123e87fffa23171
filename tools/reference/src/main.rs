//! Writes the generated reference pages: `cargo run -p reference`.

use std::io;

fn main() -> io::Result<()> {
    for page in reference::pages() {
        std::fs::write(&page.path, &page.text)?;
        println!("{}", page.path.display());
    }
    Ok(())
}
